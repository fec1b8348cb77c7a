//! Reading of HTTP responses without any library that the program under test uses.

use std::io;
use tokio::io::{AsyncBufReadExt, AsyncReadExt, BufReader};
use tokio::net::TcpStream;

/// A response: its status and the length of its body.
#[derive(Clone, Copy, Debug)]
pub(super) struct Response {
    pub(super) status: u16,
    pub(super) closes: bool,
}

/// Reads one response with its body.
pub(super) async fn read_response(stream: &mut BufReader<TcpStream>) -> io::Result<Response> {
    let head = read_head(stream).await?;
    let status = head
        .split(' ')
        .nth(1)
        .and_then(|status| status.parse().ok())
        .ok_or(io::ErrorKind::InvalidData)?;
    let length = field(&head, "content-length")
        .and_then(|length| length.parse().ok())
        .unwrap_or(0);
    let mut body = vec![0; length];
    stream.read_exact(&mut body).await?;
    let closes = field(&head, "connection").is_some_and(|v| v.eq_ignore_ascii_case("close"));
    Ok(Response { status, closes })
}

/// Reads the start line and the fields of a message.
pub(super) async fn read_head(stream: &mut BufReader<TcpStream>) -> io::Result<String> {
    let mut head = String::new();
    loop {
        let mut line = String::new();
        if stream.read_line(&mut line).await? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        if line == "\r\n" {
            return Ok(head);
        }
        head += &line;
    }
}

/// The value of the first field with this name.
pub(super) fn field<'a>(head: &'a str, name: &str) -> Option<&'a str> {
    let mut fields = head.lines().filter_map(|line| line.split_once(':'));
    fields
        .find(|(found, _)| found.eq_ignore_ascii_case(name))
        .map(|(_, value)| value.trim())
}
