//! What one client of a crowd does. Each goes on until its task is dropped.

use super::gate::Gate;
use super::http::read_response;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg32;
use socket2::SockRef;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::TcpStream;
use tokio::time::sleep;

/// Size of the receive buffer of clients that read nothing, in bytes.
const SMALL_RECEIVE_BUFFER: usize = 4_096;
/// Pause before a client whose connection has ended comes back.
const RECONNECT_PAUSE: Duration = Duration::from_millis(50);

/// What a client does.
#[derive(Clone, Copy, Debug)]
pub enum Behavior {
    /// Sends a request with a body of this length slowly.
    SlowBody {
        /// Length of the body.
        length: usize,
        /// Length of the pieces.
        piece: usize,
        /// Whether the client stops half way through the body and stays.
        stops: bool,
    },
    /// Keeps its connection, and now and then sends a request with a long body and a long response.
    Kept {
        /// Length of the request's body.
        request: usize,
        /// Length of the response's body.
        response: usize,
        /// Mean pause between two requests, in milliseconds.
        pause: u64,
    },
    /// Sends a head of fields up to this length, which never ends, and stays.
    EndlessHead {
        /// Length at which the client stops.
        length: usize,
        /// Length of each field.
        field: usize,
        /// Length of the pieces.
        piece: usize,
    },
    /// Sends complete requests with this number of fields, one after the other, and asks for as many in the response.
    ManyFields {
        /// Number of fields.
        fields: usize,
        /// Length of the value of each field.
        length: usize,
        /// Work of each request at its host, in milliseconds.
        work: u64,
    },
    /// Asks for a long response and does not read it.
    UnreadResponse {
        /// Length of the response's body.
        response: usize,
    },
    /// Connects and says nothing.
    Silent,
    /// Sends requests with this start line on one connection at full speed, with ever new names, and reads the
    /// responses.
    Flood {
        /// Method and path; each `*` is replaced by a new name.
        start: &'static str,
        /// Number of requests in one write.
        batch: usize,
    },
    /// Sends a request with a body and much more behind it, and closes the connection at once.
    SendAndLeave {
        /// Number of bytes behind the request.
        excess: usize,
    },
}

impl Behavior {
    /// Behaves like this for ever.
    pub(super) async fn run(self, target: SocketAddr, gate: Gate, seed: u64, number: usize) {
        let mut random = Pcg32::seed_from_u64(seed ^ (number as u64) << 24 ^ 0xC0FFEE);
        let mut sequence = 0;
        loop {
            if gate.is_open() {
                // A client that is turned away comes again.
                let _ = self
                    .run_connection(target, (seed, number), &mut sequence, &mut random)
                    .await;
            }
            sleep(RECONNECT_PAUSE).await;
        }
    }

    /// Behaves like this on one connection until that ends.
    async fn run_connection(
        self,
        target: SocketAddr,
        (seed, number): (u64, usize),
        sequence: &mut usize,
        random: &mut Pcg32,
    ) -> io::Result<()> {
        let mut stream = BufReader::new(TcpStream::connect(target).await?);
        stream.get_ref().set_nodelay(true)?;
        loop {
            *sequence += 1;
            let id = format!("crowd-{seed:x}-{number}-{sequence}");
            match self {
                Behavior::SlowBody {
                    length,
                    piece,
                    stops,
                } => {
                    let head = post_head(&id, "/keyed?answer=100", length);
                    stream.get_mut().write_all(head.as_bytes()).await?;
                    let sent = if stops { length / 2 } else { length };
                    let pause = Duration::from_millis(random.gen_range(15..30));
                    write_slowly(&mut stream, &vec![b'b'; sent], piece, pause).await?;
                }
                Behavior::Kept {
                    request,
                    response,
                    pause,
                } => {
                    sleep(Duration::from_millis(random.gen_range(0..=2 * pause))).await;
                    let path = format!("/keyed?answer={response}");
                    let mut message = post_head(&id, &path, request).into_bytes();
                    message.resize(message.len() + request, b'b');
                    stream.get_mut().write_all(&message).await?;
                }
                Behavior::EndlessHead {
                    length,
                    field,
                    piece,
                } => {
                    let mut head = b"GET /safe HTTP/1.1\r\n".to_vec();
                    while head.len() < length {
                        head.extend_from_slice(b"a:");
                        head.resize(head.len() + field, b'b');
                        head.extend_from_slice(b"\r\n");
                    }
                    head.truncate(length);
                    let pause = Duration::from_millis(random.gen_range(1..10));
                    write_slowly(&mut stream, &head, piece, pause).await?;
                }
                Behavior::ManyFields {
                    fields,
                    length,
                    work,
                } => {
                    let path =
                        format!("/safe?answer=100&work={work}&fields={fields}&length={length}");
                    let mut head = get_head(&id, &path);
                    for field in 0..fields {
                        head += &format!("x{field:x}:{:1>length$}\r\n", "");
                    }
                    head += "\r\n";
                    stream.get_mut().write_all(head.as_bytes()).await?;
                }
                Behavior::UnreadResponse { response } => {
                    SockRef::from(stream.get_ref()).set_recv_buffer_size(SMALL_RECEIVE_BUFFER)?;
                    let head = get_head(&id, &format!("/safe?answer={response}")) + "\r\n";
                    stream.get_mut().write_all(head.as_bytes()).await?;
                    std::future::pending::<()>().await;
                }
                Behavior::Silent => {
                    stream.get_mut().read_u8().await?;
                }
                Behavior::Flood { start, batch } => {
                    return flood(stream, start, batch, &id).await;
                }
                Behavior::SendAndLeave { excess } => {
                    let mut message = post_head(&id, "/unsafe?answer=100", 4).into_bytes();
                    message.resize(message.len() + 4 + excess, b'x');
                    // As much as the system takes at once.
                    let _ = stream.get_ref().try_write(&message);
                    return Ok(());
                }
            }
            if read_response(&mut stream).await?.closes {
                return Ok(());
            }
        }
    }
}

fn get_head(id: &str, path: &str) -> String {
    format!("GET {path} HTTP/1.1\r\nHost: service.internal\r\nX-Request-ID: {id}\r\nX-Timeout: 2500m\r\n")
}

fn post_head(id: &str, path: &str, length: usize) -> String {
    format!(
        "POST {path} HTTP/1.1\r\nHost: service.internal\r\nX-Request-ID: {id}\r\nX-Timeout: 2500m\r\nIdempotency-Key: {id}\r\nContent-Length: {length}\r\n\r\n"
    )
}

async fn write_slowly(
    stream: &mut BufReader<TcpStream>,
    bytes: &[u8],
    piece: usize,
    pause: Duration,
) -> io::Result<()> {
    for piece in bytes.chunks(piece) {
        stream.get_mut().write_all(piece).await?;
        sleep(pause).await;
    }
    Ok(())
}

/// Sends batches of requests as fast as the connection takes them, each under a new name, and reads all responses.
async fn flood(
    stream: BufReader<TcpStream>,
    start: &str,
    batch: usize,
    id: &str,
) -> io::Result<()> {
    let (mut reader, mut writer) = stream.into_inner().into_split();
    let write = async {
        for number in 0_u64.. {
            let mut text = String::new();
            for request in 0..batch {
                let name = format!("{id}-{number}-{request}");
                let start = start.replace('*', &name);
                text += &format!("{start} HTTP/1.1\r\nHost: {name}\r\nX-Request-ID: {name}\r\nX-Timeout: 500m\r\nx-{name}: 1\r\n\r\n");
            }
            writer.write_all(text.as_bytes()).await?;
        }
        Ok::<(), io::Error>(())
    };
    let read = async {
        let mut buffer = vec![0; 64 * 1024];
        while reader.read(&mut buffer).await? > 0 {}
        Ok::<(), io::Error>(())
    };
    tokio::select! {
        end = write => end,
        end = read => end,
    }
}
