//! The baseline: a reverse proxy built from hyper, with round-robin balancing and connection reuse. It makes no other
//! decisions and has no deadlines.

use crate::BenchError;
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::client::conn::http1 as client;
use hyper::server::conn::http1 as server;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use std::cell::{Cell, RefCell};
use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::net::{TcpListener, TcpStream};

type Sender = client::SendRequest<Full<Bytes>>;

/// A pool of idle connections to the hosts.
pub(crate) struct Pool {
    addresses: Vec<SocketAddr>,
    idle: Vec<RefCell<Vec<Sender>>>,
    next: Cell<usize>,
}

impl Pool {
    /// Creates a pool without connections.
    pub(crate) fn new(addresses: Vec<SocketAddr>) -> Self {
        let idle = addresses.iter().map(|_| RefCell::default()).collect();
        Pool {
            addresses,
            idle,
            next: Cell::new(0),
        }
    }
}

/// A response with status 200 and this body.
pub(crate) fn answer(body: Bytes) -> Response<Full<Bytes>> {
    Response::new(Full::new(body))
}

/// Serves until the process ends. Prints the listen address to standard error.
pub(crate) fn serve(endpoints: usize, ports: &[u16]) -> io::Result<()> {
    let addresses =
        (0..endpoints).map(|n| SocketAddr::from(([127, 0, 0, 1], ports[n % ports.len()])));
    let pool = Rc::new(Pool::new(addresses.collect()));
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    tokio::task::LocalSet::new().block_on(&runtime, async {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        eprintln!("listening on {}", listener.local_addr()?);
        loop {
            let (stream, _) = listener.accept().await?;
            let _ = stream.set_nodelay(true);
            let pool = Rc::clone(&pool);
            let service = service_fn(move |request| {
                let pool = Rc::clone(&pool);
                async move { Ok::<_, Infallible>(forward(&pool, request).await) }
            });
            tokio::task::spawn_local(
                server::Builder::new().serve_connection(TokioIo::new(stream), service),
            );
        }
    })
}

/// Forwards a request to the next host in turn; the response is 502 if that fails.
pub(crate) async fn forward(pool: &Pool, request: Request<Incoming>) -> Response<Full<Bytes>> {
    let index = pool.next.get();
    pool.next.set((index + 1) % pool.addresses.len());
    let (parts, body) = request.into_parts();
    let response = async {
        let body = body.collect().await?.to_bytes();
        exchange(pool, index, Request::from_parts(parts, Full::new(body))).await
    };
    response.await.unwrap_or_else(|_| {
        let mut bad_gateway = answer(Bytes::new());
        *bad_gateway.status_mut() = StatusCode::BAD_GATEWAY;
        bad_gateway
    })
}

/// Sends a request to the host with this index, and reads the whole response.
pub(crate) async fn exchange(
    pool: &Pool,
    index: usize,
    request: Request<Full<Bytes>>,
) -> Result<Response<Full<Bytes>>, BenchError> {
    let idle_sender = pool.idle[index].borrow_mut().pop().filter(|s| s.is_ready());
    let mut sender = match idle_sender {
        Some(sender) => sender,
        None => {
            let stream = TcpStream::connect(pool.addresses[index]).await?;
            stream.set_nodelay(true)?;
            let (sender, connection) = client::handshake(TokioIo::new(stream)).await?;
            tokio::task::spawn_local(connection);
            sender
        }
    };
    let answer = sender.send_request(request).await?;
    let (parts, body) = answer.into_parts();
    let body = body.collect().await?.to_bytes();
    pool.idle[index].borrow_mut().push(sender);
    Ok(Response::from_parts(parts, Full::new(body)))
}
