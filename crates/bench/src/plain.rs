//! The measure: a pass-through of hyper's parts that takes the next host in turn and keeps connections. It decides
//! nothing and knows no deadlines.

use crate::Fault;
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

/// Connections to hosts, kept for the next request.
pub(crate) struct Pool {
    addresses: Vec<SocketAddr>,
    idle: Vec<RefCell<Vec<Sender>>>,
    next: Cell<usize>,
}

impl Pool {
    /// One without connections yet.
    pub(crate) fn new(addresses: Vec<SocketAddr>) -> Self {
        let idle = addresses.iter().map(|_| RefCell::default()).collect();
        Pool {
            addresses,
            idle,
            next: Cell::new(0),
        }
    }
}

/// An answer with this body.
pub(crate) fn answer(body: Bytes) -> Response<Full<Bytes>> {
    Response::new(Full::new(body))
}

/// Serves until it is ended. Prints where it listens.
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
                async move { Ok::<_, Infallible>(pass(&pool, request).await) }
            });
            tokio::task::spawn_local(
                server::Builder::new().serve_connection(TokioIo::new(stream), service),
            );
        }
    })
}

/// Passes a request to the next host in turn; 502 if that fails.
pub(crate) async fn pass(pool: &Pool, request: Request<Incoming>) -> Response<Full<Bytes>> {
    let place = pool.next.get();
    pool.next.set((place + 1) % pool.addresses.len());
    let (parts, body) = request.into_parts();
    let passed = async {
        let body = body.collect().await?.to_bytes();
        exchange(pool, place, Request::from_parts(parts, Full::new(body))).await
    };
    passed.await.unwrap_or_else(|_| {
        let mut failed = answer(Bytes::new());
        *failed.status_mut() = StatusCode::BAD_GATEWAY;
        failed
    })
}

/// Sends a request to the host of this place and reads its whole answer.
pub(crate) async fn exchange(
    pool: &Pool,
    place: usize,
    request: Request<Full<Bytes>>,
) -> Result<Response<Full<Bytes>>, Fault> {
    let kept = pool.idle[place].borrow_mut().pop().filter(|s| s.is_ready());
    let mut sender = match kept {
        Some(sender) => sender,
        None => {
            let stream = TcpStream::connect(pool.addresses[place]).await?;
            stream.set_nodelay(true)?;
            let (sender, connection) = client::handshake(TokioIo::new(stream)).await?;
            tokio::task::spawn_local(connection);
            sender
        }
    };
    let answer = sender.send_request(request).await?;
    let (parts, body) = answer.into_parts();
    let body = body.collect().await?.to_bytes();
    pool.idle[place].borrow_mut().push(sender);
    Ok(Response::from_parts(parts, Full::new(body)))
}
