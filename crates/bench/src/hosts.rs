//! Stand-ins that cost as little as may be: hosts that answer at once, and the list service that names them.

use crate::plain;
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use std::convert::Infallible;
use std::fmt::Write;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};

/// Ports that all hosts share: a host is known by its name, and costs the other side its own connections.
const PORTS: usize = 16;

/// Serves until it is ended. Prints the ports of the hosts on one line.
pub(crate) fn serve() -> io::Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    tokio::task::LocalSet::new().block_on(&runtime, async {
        let mut line = String::new();
        for _ in 0..PORTS {
            let listener = TcpListener::bind("127.0.0.1:0").await?;
            // Writing to a String does not fail.
            let _ = write!(line, "{} ", listener.local_addr()?.port());
            tokio::task::spawn_local(async move {
                while let Ok((stream, _)) = listener.accept().await {
                    tokio::task::spawn_local(answer(stream));
                }
            });
        }
        println!("{line}");
        std::future::pending().await
    })
}

/// Answers every request on a connection at once.
async fn answer(mut stream: TcpStream) {
    use tokio::io::{AsyncReadExt, AsyncWriteExt};
    const ANSWER: &[u8] =
        b"HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 2\r\n\r\nok";
    let _ = stream.set_nodelay(true);
    let mut buffer = vec![0; 4096];
    let mut filled = 0;
    while let Ok(count @ 1..) = stream.read(&mut buffer[filled..]).await {
        filled += count;
        // Requests of the benchmark have no body, and none comes before the answer to the last.
        if buffer[..filled].ends_with(b"\r\n\r\n") {
            filled = 0;
            if stream.write_all(ANSWER).await.is_err() {
                return;
            }
        }
    }
}

/// The list of so many hosts over these ports, in the form of the list service.
fn list(endpoints: usize, ports: &[u16]) -> String {
    let mut text = String::from(r#"{"index":1,"snapshot":true,"endpoints":["#);
    for n in 0..endpoints {
        let (comma, port) = (if n > 0 { "," } else { "" }, ports[n % ports.len()]);
        let _ = write!(
            text,
            r#"{comma}{{"name":"h{n}","address":"127.0.0.1:{port}","zone":"z{}","group":{},"status":"up"}}"#,
            n % 3,
            n / 4
        );
    }
    text + "]}"
}

/// Serves the list: at once to who has none, and nothing more to who watches.
pub(crate) async fn discovery(endpoints: usize, ports: &[u16]) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let address = listener.local_addr()?;
    let text = Bytes::from(list(endpoints, ports));
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let text = text.clone();
            let service = service_fn(move |request: Request<hyper::body::Incoming>| {
                let text = text.clone();
                async move { Ok::<_, Infallible>(question(&request, text).await) }
            });
            tokio::spawn(http1::Builder::new().serve_connection(TokioIo::new(stream), service));
        }
    });
    Ok(address)
}

async fn question(request: &Request<Incoming>, text: Bytes) -> Response<Full<Bytes>> {
    if request.uri().query().is_some() {
        tokio::time::sleep(Duration::from_secs(10)).await;
        return plain::answer(Bytes::from_static(
            br#"{"index":1,"snapshot":false,"endpoints":[]}"#,
        ));
    }
    plain::answer(text)
}
