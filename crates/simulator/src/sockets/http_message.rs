//! HTTP/1.1 messages as peers read and write them, without the library that the program uses for its own.

use std::io;
use tokio::io::{AsyncRead, AsyncReadExt};

/// A message that was read whole.
#[derive(Clone, Debug, Default)]
pub(crate) struct Message {
    /// Method and target, or an empty text and the status.
    pub(crate) start: (String, String),
    pub(crate) fields: Vec<(String, String)>,
    pub(crate) body: Vec<u8>,
}

impl Message {
    pub(crate) fn field(&self, name: &str) -> Option<&str> {
        self.fields
            .iter()
            .find(|(n, _)| n.eq_ignore_ascii_case(name))
            .map(|(_, v)| v.as_str())
    }

    pub(crate) fn status(&self) -> u16 {
        self.start.1.parse().unwrap_or(0)
    }
}

/// Most bytes of a message.
const MOST: usize = 1 << 20;

fn odd(text: &str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, text.to_owned())
}

/// Reads one message from `stream`; what has come behind it stays in `rest`. None: the end of the connection came before
/// any byte.
///
/// # Errors
/// If the connection breaks, ends within a message, or brings what is none.
pub(crate) async fn read<S: AsyncRead + Unpin>(
    stream: &mut S,
    rest: &mut Vec<u8>,
    answer: bool,
) -> io::Result<Option<Message>> {
    loop {
        if let Some((message, length)) = parse(rest, answer)? {
            rest.drain(..length);
            // What says no more than that an answer will come is passed over.
            if answer && (100..200).contains(&message.status()) {
                continue;
            }
            return Ok(Some(message));
        }
        if rest.len() > MOST {
            return Err(odd("too long"));
        }
        if stream.read_buf(rest).await? == 0 {
            return if rest.is_empty() {
                Ok(None)
            } else {
                Err(io::ErrorKind::UnexpectedEof.into())
            };
        }
    }
}

fn parse(bytes: &[u8], answer: bool) -> io::Result<Option<(Message, usize)>> {
    let mut fields = [httparse::EMPTY_HEADER; 64];
    let (head, start, fields) = if answer {
        let mut parsed = httparse::Response::new(&mut fields);
        let status = parsed.parse(bytes).map_err(|e| odd(&e.to_string()))?;
        let httparse::Status::Complete(head) = status else {
            return Ok(None);
        };
        (
            head,
            (String::new(), parsed.code.unwrap_or(0).to_string()),
            parsed.headers,
        )
    } else {
        let mut parsed = httparse::Request::new(&mut fields);
        let status = parsed.parse(bytes).map_err(|e| odd(&e.to_string()))?;
        let httparse::Status::Complete(head) = status else {
            return Ok(None);
        };
        let text = |t: Option<&str>| t.unwrap_or_default().to_owned();
        (
            head,
            (text(parsed.method), text(parsed.path)),
            parsed.headers,
        )
    };
    let text = |v: &[u8]| String::from_utf8_lossy(v).into_owned();
    let fields: Vec<_> = fields
        .iter()
        .map(|f| (f.name.to_owned(), text(f.value)))
        .collect();
    let mut message = Message {
        start,
        fields,
        body: Vec::new(),
    };
    let length = match message.field("content-length") {
        Some(length) => length.parse::<usize>().map_err(|_| odd("an odd length"))?,
        None if message.field("transfer-encoding").is_some() => {
            return Err(odd("a coding that no peer here uses"))
        }
        None => 0,
    };
    if length > MOST {
        return Err(odd("too long"));
    }
    let Some(body) = bytes.get(head..head + length) else {
        return Ok(None);
    };
    message.body = body.to_vec();
    Ok(Some((message, head + length)))
}
