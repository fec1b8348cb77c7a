//! HTTP messages as plain text, parsed without any library that the program under test uses.

use std::io::{BufRead, BufReader, Read};
use std::net::TcpStream;

/// An HTTP request or response.
#[derive(Clone, Debug)]
pub struct Message {
    /// The start line and the headers.
    pub head: String,
    /// The body, decoded if it was chunked.
    pub body: Vec<u8>,
}

impl Message {
    /// The value of the first header with this name.
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut fields = self.head.lines().filter_map(|l| l.split_once(':'));
        fields
            .find(|(n, _)| n.eq_ignore_ascii_case(name))
            .map(|(_, v)| v.trim())
    }

    /// The status code of a response.
    ///
    /// # Panics
    /// If the message is not a response.
    pub fn status(&self) -> u16 {
        self.head
            .split(' ')
            .nth(1)
            .and_then(|s| s.parse().ok())
            .expect("a status code")
    }
}

/// Reads one message; None if the connection ends first.
pub fn read(stream: &mut BufReader<TcpStream>) -> Option<Message> {
    let mut message = read_head(stream)?;
    if message.header("transfer-encoding").is_some() {
        message.body = chunks(stream)?;
        return Some(message);
    }
    let length = message
        .header("content-length")
        .map_or(0, |l| l.parse().expect("a valid Content-Length"));
    message.body.resize(length, 0);
    stream.read_exact(&mut message.body).ok()?;
    Some(message)
}

/// Reads the head of a message whose body is absent whatever its headers say, such as the response to HEAD.
pub fn read_head(stream: &mut BufReader<TcpStream>) -> Option<Message> {
    let mut head = String::new();
    loop {
        let mut line = String::new();
        if stream.read_line(&mut line).ok()? == 0 {
            return None;
        }
        if line == "\r\n" {
            return Some(Message {
                head,
                body: Vec::new(),
            });
        }
        head += &line;
    }
}

/// Reads a chunked body.
fn chunks(stream: &mut BufReader<TcpStream>) -> Option<Vec<u8>> {
    let mut body = Vec::new();
    loop {
        let mut line = String::new();
        stream.read_line(&mut line).ok()?;
        let length = usize::from_str_radix(line.trim(), 16).ok()?;
        let start = body.len();
        body.resize(start + length, 0);
        stream.read_exact(&mut body[start..]).ok()?;
        stream.read_line(&mut String::new()).ok()?;
        if length == 0 {
            return Some(body);
        }
    }
}
