//! Stand-ins with minimal cost: hosts that answer at once, and the list service that lists them.

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

/// Number of ports that all hosts share. The proxy identifies hosts by name, and opens separate connections to each.
const PORTS: usize = 16;

/// Serves until the process ends. Prints the ports of the hosts on one line.
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
        // Requests of the benchmark have no body and are not pipelined.
        if buffer[..filled].ends_with(b"\r\n\r\n") {
            filled = 0;
            if stream.write_all(ANSWER).await.is_err() {
                return;
            }
        }
    }
}

/// The list of this many hosts on these ports, in the format of the list service.
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

/// Serves the list. A client without a list gets it at once; a watch gets empty updates.
pub(crate) async fn discovery(endpoints: usize, ports: &[u16]) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let address = listener.local_addr()?;
    let text = Bytes::from(list(endpoints, ports));
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let text = text.clone();
            let service = service_fn(move |request: Request<hyper::body::Incoming>| {
                let text = text.clone();
                async move { Ok::<_, Infallible>(answer_poll(&request, text).await) }
            });
            tokio::spawn(http1::Builder::new().serve_connection(TokioIo::new(stream), service));
        }
    });
    Ok(address)
}

async fn answer_poll(request: &Request<Incoming>, text: Bytes) -> Response<Full<Bytes>> {
    if request.uri().query().is_some() {
        tokio::time::sleep(Duration::from_secs(10)).await;
        return plain::answer(Bytes::from_static(
            br#"{"index":1,"snapshot":false,"endpoints":[]}"#,
        ));
    }
    plain::answer(text)
}
