//! HTTP messages as plain text, read without any library that the program uses.

use std::io::{BufRead, BufReader, Read};
use std::net::TcpStream;

/// An HTTP message: its first line and headers, and its body.
#[derive(Clone, Debug)]
pub struct Message {
    pub head: String,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut fields = self.head.lines().filter_map(|l| l.split_once(':'));
        fields
            .find(|(n, _)| n.eq_ignore_ascii_case(name))
            .map(|(_, v)| v.trim())
    }

    pub fn status(&self) -> u16 {
        self.head
            .split(' ')
            .nth(1)
            .and_then(|s| s.parse().ok())
            .expect("a status")
    }
}

/// Reads one message; None at the end of the connection.
pub fn read(stream: &mut BufReader<TcpStream>) -> Option<Message> {
    let mut message = read_head(stream)?;
    if message.header("transfer-encoding").is_some() {
        message.body = chunks(stream)?;
        return Some(message);
    }
    let length = message
        .header("content-length")
        .map_or(0, |l| l.parse().expect("a length"));
    message.body.resize(length, 0);
    stream.read_exact(&mut message.body).ok()?;
    Some(message)
}

/// Reads a head alone, as of an answer that has no body whatever its headers say.
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
