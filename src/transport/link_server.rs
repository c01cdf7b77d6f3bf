//! Accepts and authenticates connections from other hosts.

use {
    crate::transport::{
        connection::{CLOSE_TIMEOUT, rpc_system},
        fleet_key::{FleetKey, Side},
        peer_call::PeerCall,
        peer_capnp::{gate, peer},
        peer_server::PeerServer,
    },
    capnp_rpc::{new_client, rpc_twoparty_capnp},
    std::{
        cell::{Cell, RefCell},
        net::TcpListener,
        rc::Rc,
        time::Duration,
    },
    tokio::{
        net::TcpStream,
        task::spawn_local,
        time::{Instant, sleep, timeout},
    },
};

/// Maximum number of open connections from other hosts.
const MAX_CONNECTIONS: usize = 4096;

/// Time limit for a connection to authenticate.
const AUTHENTICATION_TIMEOUT: Duration = Duration::from_secs(5);

/// Maximum time between two calls on a connection. In a large fleet a host
/// probes each peer every few minutes; a host that crashed never closes its
/// connections.
const IDLE_TIMEOUT: Duration = Duration::from_secs(600);

/// Pause after a failed `accept`, for example when the process has no free file
/// descriptor.
const ACCEPT_PAUSE: Duration = Duration::from_millis(100);

/// Time at which a connection was last used; `None` before it is authenticated.
pub type Activity = Rc<Cell<Option<Instant>>>;

/// A function that receives the calls of other hosts.
pub type Deliver = Rc<dyn Fn(PeerCall)>;

/// Accepts connections until the task is dropped.
pub async fn run(listener: TcpListener, key: FleetKey, deliver: Deliver) {
    let listener = listener
        .set_nonblocking(true)
        .and_then(|()| tokio::net::TcpListener::from_std(listener));
    let listener = match listener {
        Ok(listener) => listener,
        Err(error) => return log::error!("cannot listen for peer connections: {error}"),
    };
    let connections = Rc::new(());

    loop {
        match listener.accept().await {
            Ok((stream, _)) if Rc::strong_count(&connections) <= MAX_CONNECTIONS => {
                let gate = Gate::new(key.clone(), Rc::clone(&deliver));
                let guard = Rc::clone(&connections);
                spawn_local(async move {
                    if let Err(error) = serve(stream, gate).await {
                        log::debug!("peer connection ended: {error}");
                    }
                    drop(guard);
                });
            }
            Ok(_) => log::warn!("refused a peer connection: {MAX_CONNECTIONS} are open"),
            Err(error) => {
                log::warn!("cannot accept a peer connection: {error}");
                sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn serve(stream: TcpStream, gate: Gate) -> capnp::Result<()> {
    let activity = Rc::clone(&gate.activity);
    let gate: gate::Client = new_client(gate);
    let mut system = rpc_system(stream, rpc_twoparty_capnp::Side::Server, Some(gate.client))?;
    let mut limit = AUTHENTICATION_TIMEOUT;

    loop {
        if let Ok(result) = timeout(limit, &mut system).await {
            return result;
        }

        limit = IDLE_TIMEOUT;

        if activity.get().is_none_or(|last| last.elapsed() >= limit) {
            break;
        }
    }

    let disconnector = system.get_disconnector();
    let _ = timeout(CLOSE_TIMEOUT, futures::future::join(disconnector, system)).await;
    Ok(())
}

struct Gate {
    activity: Activity,
    client_nonce: RefCell<Vec<u8>>,
    deliver: Deliver,
    key: FleetKey,
    server_nonce: [u8; 32],
}

impl Gate {
    fn new(key: FleetKey, deliver: Deliver) -> Self {
        Self {
            activity: Rc::default(),
            client_nonce: RefCell::default(),
            deliver,
            key,
            server_nonce: rand::random(),
        }
    }
}

impl gate::Server for Gate {
    async fn hello(
        self: Rc<Self>,
        params: gate::HelloParams,
        mut results: gate::HelloResults,
    ) -> capnp::Result<()> {
        *self.client_nonce.borrow_mut() = params.get()?.get_nonce()?.to_vec();
        results.get().set_nonce(&self.server_nonce);
        Ok(())
    }

    async fn authenticate(
        self: Rc<Self>,
        params: gate::AuthenticateParams,
        mut results: gate::AuthenticateResults,
    ) -> capnp::Result<()> {
        let client = self.client_nonce.borrow();
        let server = &self.server_nonce;
        let proof = params.get()?.get_proof()?;

        if !self.key.verify(Side::Client, &client, server, proof) {
            return Err(capnp::Error::failed(
                "the connecting host does not have the fleet's key".into(),
            ));
        }

        self.activity.set(Some(Instant::now()));
        let proof = self.key.prove(Side::Server, &client, server);
        let peer: peer::Client = new_client(PeerServer::new(
            Rc::clone(&self.activity),
            Rc::clone(&self.deliver),
        ));
        results.get().set_proof(&proof);
        results.get().set_peer(peer);
        Ok(())
    }
}
