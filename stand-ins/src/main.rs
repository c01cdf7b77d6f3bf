//! Runs a single stand-in as a process.

use {
    bpaf::{OptionParser, Parser, construct, long},
    serde_json::json,
    signal_hook::{
        consts::{SIGINT, SIGTERM},
        iterator::Signals,
    },
    snafu::{Report, ResultExt},
    stand_ins::{
        Error,
        endpoint::{self, Kind, Options},
        error::{RegisterSnafu, SignalSnafu},
        host_list, object_api,
        orders::Fencing,
        server::ANY_PORT,
    },
    std::net::SocketAddr,
};

/// An endpoint's record in the host list, and the host list's URL.
#[derive(Clone, Debug)]
struct Listing {
    domain: String,
    host_list: Option<String>,
    id: String,
    pool: String,
}

#[derive(Clone, Debug)]
enum Command {
    Endpoint {
        listen: SocketAddr,
        listing: Listing,
        options: Options,
    },
    HostList {
        listen: SocketAddr,
    },
    ObjectApi {
        listen: SocketAddr,
    },
}

fn main() -> Report<Error> {
    Report::capture(|| run(command().run()))
}

fn run(command: Command) -> Result<(), Error> {
    let mut signals = Signals::new([SIGINT, SIGTERM]).context(SignalSnafu)?;

    match command {
        Command::Endpoint {
            listen,
            listing,
            options,
        } => {
            let handle = endpoint::start(listen, options)?;
            register(&listing, handle.address(), host_list::Phase::Live)?;
            announce(handle.address());
            signals.forever().next();
            // The host list may have stopped already.
            let _ = register(&listing, handle.address(), host_list::Phase::Gone);
        }
        Command::HostList { listen } => {
            let handle = host_list::start(listen)?;
            announce(handle.address());
            signals.forever().next();
        }
        Command::ObjectApi { listen } => {
            let handle = object_api::start(listen)?;
            announce(handle.address());
            signals.forever().next();
        }
    }

    Ok(())
}

fn announce(address: SocketAddr) {
    println!("{}", json!({ "listening": address }));
}

fn register(listing: &Listing, address: SocketAddr, phase: host_list::Phase) -> Result<(), Error> {
    let Some(url) = &listing.host_list else {
        return Ok(());
    };

    let record = host_list::Host {
        address,
        domain: listing.domain.clone(),
        id: listing.id.clone(),
        phase,
        pool: listing.pool.clone(),
    };

    ureq::post(format!("{url}/v1/hosts"))
        .send(json!(record).to_string())
        .map(drop)
        .context(RegisterSnafu { url })
}

fn command() -> OptionParser<Command> {
    let endpoint = {
        let listen = listen();
        let listing = listing();
        let options = options();
        construct!(Command::Endpoint {
            listen,
            listing,
            options
        })
    };
    let endpoint = endpoint.to_options().command("endpoint");

    let host_list = {
        let listen = listen();
        construct!(Command::HostList { listen })
    };
    let host_list = host_list.to_options().command("host-list");

    let object_api = {
        let listen = listen();
        construct!(Command::ObjectApi { listen })
    };
    let object_api = object_api.to_options().command("object-api");

    construct!([endpoint, host_list, object_api])
        .to_options()
        .descr("Runs a stand-in until SIGTERM and prints its address as a JSON line")
}

fn listen() -> impl Parser<SocketAddr> {
    long("listen")
        .help("Address to listen on; port 0 picks a free port")
        .argument("ADDRESS")
        .fallback(ANY_PORT)
}

fn listing() -> impl Parser<Listing> {
    let domain = long("domain").help("Failure domain").argument("D");
    let host_list = long("host-list")
        .help("Host list to register at, as a URL")
        .argument("URL")
        .optional();
    let id = long("id").help("Id of the endpoint").argument("ID");
    let pool = long("pool").help("Pool of the endpoint").argument("POOL");
    construct!(Listing {
        domain,
        host_list,
        id,
        pool
    })
}

fn options() -> impl Parser<Options> {
    let fencing = long("fencing")
        .help("enforced or ignored: whether orders with old fencing tokens are refused")
        .argument::<Fencing>("FENCING")
        .fallback(Fencing::Enforced);
    let kind = long("kind")
        .help("engine, pool or service")
        .argument::<Kind>("KIND");
    let reports_load = long("reports-load").help("Serve load reports").switch();
    construct!(Options {
        fencing,
        kind,
        reports_load
    })
}
