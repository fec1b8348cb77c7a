//! A control for the platform's bench: a client proxy with nothing in it that could lose a request. It takes every
//! connection, answers each request as refused in the moment in which it is read, and logs its id. What the bench calls
//! lost with this in the program's place, the program did not lose.

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use std::cell::Cell;
use std::convert::Infallible;
use std::io::{self, Write};
use std::net::SocketAddr;
use std::rc::Rc;
use std::str::FromStr;
use tokio::net::{TcpSocket, TcpStream};
use tokio::signal::unix::{signal, SignalKind};

/// Connections waiting to be accepted; as many as the program has.
const BACKLOG: u32 = 1_024;

/// Most bytes of a body on the platform.
const BODY: usize = 64 * 1024;

/// One request of one client proxy that is read and never answered, so that the bench can be seen to name it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Ignored {
    /// The client proxy, as `RELAY_NAME` names it.
    proxy: String,
    /// Which of its requests, from 1.
    number: u64,
}

impl FromStr for Ignored {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let wanted =
            || format!("found {text:?}, allowed is NAME:NUMBER with a number from 1, like n0:5");
        let (proxy, number) = text.split_once(':').ok_or_else(wanted)?;
        let number = number.parse().ok().filter(|&n| n > 0).ok_or_else(wanted)?;
        match proxy {
            "" => Err(wanted()),
            proxy => Ok(Ignored {
                proxy: proxy.to_owned(),
                number,
            }),
        }
    }
}

struct Control {
    ignored: Option<u64>,
    read: Cell<u64>,
}

/// What is done with a request.
#[derive(Debug, PartialEq, Eq)]
enum Fate {
    Well,
    Refused,
    Ignored,
}

impl Control {
    fn fate(&self, path: &str) -> Fate {
        if path == "/_health" {
            return Fate::Well;
        }
        self.read.set(self.read.get() + 1);
        if self.ignored == Some(self.read.get()) {
            Fate::Ignored
        } else {
            Fate::Refused
        }
    }
}

/// Serves at `RELAY_LISTEN` until it is told to stop (SIGTERM) or killed. SIGHUP is taken and changes nothing.
///
/// # Errors
/// If the variable names no address, or nothing can listen there.
pub(crate) fn serve(ignored: Option<Ignored>) -> io::Result<()> {
    let odd = |fault: String| {
        io::Error::new(
            io::ErrorKind::InvalidInput,
            format!("RELAY_LISTEN: {fault}"),
        )
    };
    let listen = std::env::var("RELAY_LISTEN").map_err(|e| odd(e.to_string()))?;
    let listen: SocketAddr = listen
        .parse()
        .map_err(|e| odd(format!("{listen:?}: {e}")))?;
    let name = std::env::var("RELAY_NAME").unwrap_or_default();
    let ignored = ignored.filter(|i| i.proxy == name).map(|i| i.number);
    let control = Rc::new(Control {
        ignored,
        read: Cell::new(0),
    });
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    tokio::task::LocalSet::new().block_on(&runtime, async {
        let (mut term, mut hangup) = (
            signal(SignalKind::terminate())?,
            signal(SignalKind::hangup())?,
        );
        let socket = if listen.is_ipv4() {
            TcpSocket::new_v4()
        } else {
            TcpSocket::new_v6()
        }?;
        socket.set_reuseaddr(true)?;
        socket.bind(listen)?;
        let listener = socket.listen(BACKLOG)?;
        note(format_args!("listening on {}", listener.local_addr()?));
        loop {
            tokio::select! {
                accepted = listener.accept() => match accepted {
                    Ok((stream, client)) => {
                        note(format_args!("accepted {client}"));
                        tokio::task::spawn_local(connection(Rc::clone(&control), stream));
                    }
                    Err(fault) => note(format_args!("accept: {fault}")),
                },
                _ = hangup.recv() => {}
                _ = term.recv() => return Ok(()),
            }
        }
    })
}

/// One line in one write: lines of many processes go to logs of their own.
fn note(line: std::fmt::Arguments<'_>) {
    let _ = io::stderr().write_all(format!("{line}\n").as_bytes());
}

async fn connection(control: Rc<Control>, stream: TcpStream) {
    let _ = stream.set_nodelay(true);
    let service = service_fn(|request: Request<Incoming>| {
        let control = Rc::clone(&control);
        async move {
            let fate = control.fate(request.uri().path());
            let id = request
                .headers()
                .get("x-request-id")
                .and_then(|v| v.to_str().ok())
                .unwrap_or("-");
            note(format_args!("{fate:?} {id}"));
            // The body is taken, so that the connection can be used again; bad clients send more than they may.
            let _ = Limited::new(request.into_body(), BODY).collect().await;
            let mut response = Response::new(Full::new(Bytes::from_static(b"control")));
            match fate {
                Fate::Well => {}
                Fate::Refused => *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE,
                Fate::Ignored => std::future::pending::<()>().await,
            }
            Ok::<_, Infallible>(response)
        }
    });
    if let Err(fault) = http1::Builder::new()
        .serve_connection(TokioIo::new(stream), service)
        .await
    {
        note(format_args!("connection: {fault}"));
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn one_request_is_ignored_and_health_never() {
        let control = Control {
            ignored: Some(2),
            read: Cell::new(0),
        };
        let fates = ["/a", "/_health", "/a", "/a"].map(|path| control.fate(path));
        assert_eq!(
            fates,
            [Fate::Refused, Fate::Well, Fate::Ignored, Fate::Refused]
        );
    }

    #[test]
    fn the_one_to_ignore_is_read_with_reasons() {
        assert_eq!(
            "n0:5".parse(),
            Ok(Ignored {
                proxy: "n0".to_owned(),
                number: 5
            })
        );
        for odd in ["n0", "n0:", "n0:0", ":5", "n0:x", ""] {
            let fault = odd.parse::<Ignored>().unwrap_err();
            assert!(
                fault.contains(&format!("{odd:?}")) && fault.contains("NAME:NUMBER"),
                "{fault}"
            );
        }
    }
}
