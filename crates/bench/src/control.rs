//! A control experiment for the platform's benchmark: a minimal client proxy that cannot lose a request. It accepts every
//! connection, rejects each request as soon as it has read the head, and logs the request's id. Requests that the
//! benchmark reports as lost with this proxy are not lost by the program.

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

/// Length of the listen backlog; the same as the program's.
const BACKLOG: u32 = 1_024;

/// Maximum size of a request body on the platform, in bytes.
const MAX_BODY_BYTES: usize = 64 * 1024;

/// A request that a client proxy reads and never answers, to verify that the benchmark reports it as lost.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Ignored {
    /// The name of the client proxy, as in `RELAY_NAME`.
    proxy: String,
    /// The number of the request at this proxy, counted from 1.
    number: u64,
}

impl FromStr for Ignored {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let invalid_value =
            || format!("found {text:?}, allowed is NAME:NUMBER with a number from 1, like n0:5");
        let (proxy, number) = text.split_once(':').ok_or_else(invalid_value)?;
        let number = number
            .parse()
            .ok()
            .filter(|&n| n > 0)
            .ok_or_else(invalid_value)?;
        match proxy {
            "" => Err(invalid_value()),
            proxy => Ok(Ignored {
                proxy: proxy.to_owned(),
                number,
            }),
        }
    }
}

/// The state of the proxy.
struct ControlProxy {
    ignored: Option<u64>,
    requests_read: Cell<u64>,
}

/// How a request is handled. The variants are written to the log.
#[derive(Debug, PartialEq, Eq)]
enum Disposition {
    Well,
    Refused,
    Ignored,
}

impl ControlProxy {
    fn handle(&self, path: &str) -> Disposition {
        if path == "/_health" {
            return Disposition::Well;
        }
        self.requests_read.set(self.requests_read.get() + 1);
        if self.ignored == Some(self.requests_read.get()) {
            Disposition::Ignored
        } else {
            Disposition::Refused
        }
    }
}

/// Serves at `RELAY_LISTEN` until SIGTERM arrives. SIGHUP is ignored.
///
/// # Errors
/// If the variable is not an address, or the address can't be bound.
pub(crate) fn serve(ignored: Option<Ignored>) -> io::Result<()> {
    let invalid_variable = |error: String| {
        io::Error::new(
            io::ErrorKind::InvalidInput,
            format!("RELAY_LISTEN: {error}"),
        )
    };
    let listen = std::env::var("RELAY_LISTEN").map_err(|e| invalid_variable(e.to_string()))?;
    let listen: SocketAddr = listen
        .parse()
        .map_err(|e| invalid_variable(format!("{listen:?}: {e}")))?;
    let name = std::env::var("RELAY_NAME").unwrap_or_default();
    let ignored = ignored.filter(|i| i.proxy == name).map(|i| i.number);
    let control = Rc::new(ControlProxy {
        ignored,
        requests_read: Cell::new(0),
    });
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    tokio::task::LocalSet::new().block_on(&runtime, async {
        let (mut terminate, mut hangup) = (
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
        log_line(format_args!("listening on {}", listener.local_addr()?));
        loop {
            tokio::select! {
                accepted = listener.accept() => match accepted {
                    Ok((stream, client)) => {
                        log_line(format_args!("accepted {client}"));
                        tokio::task::spawn_local(handle_connection(Rc::clone(&control), stream));
                    }
                    Err(error) => log_line(format_args!("accept: {error}")),
                },
                _ = hangup.recv() => {}
                _ = terminate.recv() => return Ok(()),
            }
        }
    })
}

/// Writes a log line to standard error with a single write.
fn log_line(line: std::fmt::Arguments<'_>) {
    let _ = io::stderr().write_all(format!("{line}\n").as_bytes());
}

async fn handle_connection(control: Rc<ControlProxy>, stream: TcpStream) {
    let _ = stream.set_nodelay(true);
    let service = service_fn(|request: Request<Incoming>| {
        let control = Rc::clone(&control);
        async move {
            let disposition = control.handle(request.uri().path());
            let id = request
                .headers()
                .get("x-request-id")
                .and_then(|v| v.to_str().ok())
                .unwrap_or("-");
            log_line(format_args!("{disposition:?} {id}"));
            // The body is read, so that the connection can be reused. It is limited, because faulty clients exceed the maximum.
            let _ = Limited::new(request.into_body(), MAX_BODY_BYTES)
                .collect()
                .await;
            let mut response = Response::new(Full::new(Bytes::from_static(b"control")));
            match disposition {
                Disposition::Well => {}
                Disposition::Refused => *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE,
                Disposition::Ignored => std::future::pending::<()>().await,
            }
            Ok::<_, Infallible>(response)
        }
    });
    if let Err(error) = http1::Builder::new()
        .serve_connection(TokioIo::new(stream), service)
        .await
    {
        log_line(format_args!("connection: {error}"));
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn only_the_selected_request_is_ignored_and_health_checks_are_answered() {
        let control = ControlProxy {
            ignored: Some(2),
            requests_read: Cell::new(0),
        };
        let dispositions = ["/a", "/_health", "/a", "/a"].map(|path| control.handle(path));
        assert_eq!(
            dispositions,
            [
                Disposition::Refused,
                Disposition::Well,
                Disposition::Ignored,
                Disposition::Refused
            ]
        );
    }

    #[test]
    fn the_ignored_request_is_parsed_and_invalid_values_are_named_in_the_error() {
        assert_eq!(
            "n0:5".parse(),
            Ok(Ignored {
                proxy: "n0".to_owned(),
                number: 5
            })
        );
        for invalid in ["n0", "n0:", "n0:0", ":5", "n0:x", ""] {
            let error = invalid.parse::<Ignored>().unwrap_err();
            assert!(
                error.contains(&format!("{invalid:?}")) && error.contains("NAME:NUMBER"),
                "{error}"
            );
        }
    }
}
