//! Reads HTTP/1.1 messages for the stand-ins. It does not use the proxy's own HTTP code, which is under test.

use std::io;
use tokio::io::{AsyncRead, AsyncReadExt};

/// A complete message.
#[derive(Clone, Debug, Default)]
pub(crate) struct Message {
    /// Method and target of a request; an empty string and the status code of a response.
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

/// Maximum length of a body, and of the bytes that are buffered for a message.
const MAX_MESSAGE_BYTES: usize = 1 << 20;

fn invalid(text: &str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, text.to_owned())
}

/// Reads one message from `stream`. `rest` holds the bytes that were read beyond it, before and after the call. Returns
/// `None` if the connection ends before the first byte of a message.
///
/// # Errors
/// If the connection fails or ends within a message, or if the bytes are not a valid message.
pub(crate) async fn read<S: AsyncRead + Unpin>(
    stream: &mut S,
    rest: &mut Vec<u8>,
    is_response: bool,
) -> io::Result<Option<Message>> {
    loop {
        if let Some((message, length)) = parse(rest, is_response)? {
            rest.drain(..length);
            // Informational responses are skipped.
            if is_response && (100..200).contains(&message.status()) {
                continue;
            }
            return Ok(Some(message));
        }
        if rest.len() > MAX_MESSAGE_BYTES {
            return Err(invalid("message too long"));
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

fn parse(bytes: &[u8], is_response: bool) -> io::Result<Option<(Message, usize)>> {
    let mut fields = [httparse::EMPTY_HEADER; 64];
    let (head, start, fields) = if is_response {
        let mut parsed = httparse::Response::new(&mut fields);
        let status = parsed.parse(bytes).map_err(|e| invalid(&e.to_string()))?;
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
        let status = parsed.parse(bytes).map_err(|e| invalid(&e.to_string()))?;
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
        Some(length) => length
            .parse::<usize>()
            .map_err(|_| invalid("invalid content-length"))?,
        None if message.field("transfer-encoding").is_some() => {
            return Err(invalid("unsupported transfer-encoding"))
        }
        None => 0,
    };
    if length > MAX_MESSAGE_BYTES {
        return Err(invalid("message too long"));
    }
    let Some(body) = bytes.get(head..head + length) else {
        return Ok(None);
    };
    message.body = body.to_vec();
    Ok(Some((message, head + length)))
}
