//! An authenticated connection to another host.

use {
    crate::transport::{
        error::{ConnectSnafu, Error},
        fleet_key::{FleetKey, Side},
        peer_capnp::{gate, peer},
    },
    capnp::message::ReaderOptions,
    capnp_rpc::{Disconnector, RpcSystem, rpc_twoparty_capnp, twoparty::VatNetwork},
    std::{net::SocketAddr, time::Duration},
    tokio::{
        net::TcpStream,
        task::{JoinHandle, spawn_local},
        time::timeout,
    },
    tokio_util::compat::{TokioAsyncReadCompatExt, TokioAsyncWriteCompatExt},
};

/// Time limit for connecting and authenticating.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// Maximum size of a message, in words of 8 bytes. The largest message carries
/// a snapshot of the settings, which the object API limits to 1 MB.
const MAX_MESSAGE_WORDS: usize = 1024 * 1024;

/// Time limit for a graceful disconnect.
pub const CLOSE_TIMEOUT: Duration = Duration::from_secs(1);

/// The two-party Cap'n Proto network on a TCP connection.
pub type Network = VatNetwork<tokio_util::compat::Compat<tokio::net::tcp::OwnedReadHalf>>;

/// An open connection to a host that has proved possession of the fleet key.
pub struct Connection {
    disconnector: Disconnector<rpc_twoparty_capnp::Side>,
    peer: peer::Client,
    system: JoinHandle<()>,
}

impl Connection {
    /// Connects and authenticates.
    ///
    /// # Errors
    ///
    /// Returns an error if the host does not respond in time, or either side
    /// rejects the other's proof.
    pub async fn open(address: SocketAddr, key: &FleetKey) -> Result<Self, Error> {
        let message = match timeout(CONNECT_TIMEOUT, Self::start(address, key)).await {
            Ok(Ok(connection)) => return Ok(connection),
            Ok(Err(error)) => error.to_string(),
            Err(_) => format!("no answer within {} ms", CONNECT_TIMEOUT.as_millis()),
        };

        let address = address.to_string();
        ConnectSnafu { address, message }.fail()
    }

    /// Returns the other host's interface, or `None` if the connection is
    /// closed.
    pub fn peer(&self) -> Option<peer::Client> {
        (!self.system.is_finished()).then(|| self.peer.clone())
    }

    /// Closes the connection in the background.
    pub fn close(self) {
        spawn_local(async move {
            let _ = timeout(CLOSE_TIMEOUT, self.disconnector).await;
            self.system.abort();
        });
    }

    async fn start(address: SocketAddr, key: &FleetKey) -> capnp::Result<Self> {
        let stream = TcpStream::connect(address).await?;
        let mut system = rpc_system(stream, rpc_twoparty_capnp::Side::Client, None)?;
        let gate: gate::Client = system.bootstrap(rpc_twoparty_capnp::Side::Server);
        let disconnector = system.get_disconnector();
        let system = spawn_local(async move {
            if let Err(error) = system.await {
                log::debug!("connection to {address} ended: {error}");
            }
        });
        let guard = AbortOnDrop(Some(system));
        let peer = authenticate(&gate, key).await?;

        Ok(Self {
            disconnector,
            peer,
            system: guard.disarm(),
        })
    }
}

/// Builds the RPC system for one side of a connection. `bootstrap` is the
/// interface that this side offers.
///
/// # Errors
///
/// Returns an error if the socket cannot be configured.
pub fn rpc_system(
    stream: TcpStream,
    side: rpc_twoparty_capnp::Side,
    bootstrap: Option<capnp::capability::Client>,
) -> capnp::Result<RpcSystem<rpc_twoparty_capnp::Side>> {
    stream.set_nodelay(true)?;
    let (reader, writer) = stream.into_split();
    let network = Network::new(
        reader.compat(),
        writer.compat_write(),
        side,
        *ReaderOptions::new().traversal_limit_in_words(Some(MAX_MESSAGE_WORDS)),
    );
    let mut system = RpcSystem::new(Box::new(network), bootstrap);
    system.set_background_error_handler(|error| log::debug!("peer connection: {error}"));
    Ok(system)
}

async fn authenticate(gate: &gate::Client, key: &FleetKey) -> capnp::Result<peer::Client> {
    let client_nonce = rand::random::<[u8; 32]>();
    let mut hello = gate.hello_request();
    hello.get().set_nonce(&client_nonce);
    let hello = hello.send().promise.await?;
    let server_nonce = hello.get()?.get_nonce()?;

    let mut request = gate.authenticate_request();
    request
        .get()
        .set_proof(&key.prove(Side::Client, &client_nonce, server_nonce));
    let response = request.send().promise.await?;
    let response = response.get()?;

    if key.verify(
        Side::Server,
        &client_nonce,
        server_nonce,
        response.get_proof()?,
    ) {
        response.get_peer()
    } else {
        Err(capnp::Error::failed(
            "the other host does not have the fleet's key".into(),
        ))
    }
}

/// Aborts the task of a connection that fails before it is established.
struct AbortOnDrop(Option<JoinHandle<()>>);

impl AbortOnDrop {
    fn disarm(mut self) -> JoinHandle<()> {
        self.0.take().expect("only `disarm` takes the handle")
    }
}

impl Drop for AbortOnDrop {
    fn drop(&mut self) {
        if let Some(task) = &self.0 {
            task.abort();
        }
    }
}
