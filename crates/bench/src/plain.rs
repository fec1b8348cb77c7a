//! The measure: a pass-through of hyper's parts that takes the next host in turn and keeps connections. It decides
//! nothing and knows no deadlines.

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

struct Pool {
    addresses: Vec<SocketAddr>,
    idle: Vec<RefCell<Vec<Sender>>>,
    next: Cell<usize>,
}

/// An answer with this body.
pub fn answer(body: Bytes) -> Response<Full<Bytes>> {
    Response::new(Full::new(body))
}

/// Serves until it is ended. Prints where it listens.
pub fn serve(endpoints: usize, ports: &[u16]) -> io::Result<()> {
    let addresses = (0..endpoints).map(|n| SocketAddr::from(([127, 0, 0, 1], ports[n % ports.len()])));
    let pool = Rc::new(Pool {
        addresses: addresses.collect(),
        idle: (0..endpoints).map(|_| RefCell::default()).collect(),
        next: Cell::new(0),
    });
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
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
            tokio::task::spawn_local(server::Builder::new().serve_connection(TokioIo::new(stream), service));
        }
    })
}

async fn pass(pool: &Pool, request: Request<Incoming>) -> Response<Full<Bytes>> {
    let place = pool.next.get();
    pool.next.set((place + 1) % pool.addresses.len());
    exchange(pool, place, request).await.unwrap_or_else(|_| {
        let mut failed = answer(Bytes::new());
        *failed.status_mut() = StatusCode::BAD_GATEWAY;
        failed
    })
}

type Fault = Box<dyn std::error::Error>;

async fn exchange(
    pool: &Pool,
    place: usize,
    request: Request<Incoming>,
) -> Result<Response<Full<Bytes>>, Fault> {
    let (parts, body) = request.into_parts();
    let body = body.collect().await?.to_bytes();
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
    let answer = sender.send_request(Request::from_parts(parts, Full::new(body))).await?;
    let (parts, body) = answer.into_parts();
    let body = body.collect().await?.to_bytes();
    pool.idle[place].borrow_mut().push(sender);
    Ok(Response::from_parts(parts, Full::new(body)))
}
