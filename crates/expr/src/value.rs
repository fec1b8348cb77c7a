//! Values, and what an expression sees of a request.

use crate::bounds::{PARTS_MOST, SEGMENTS_MOST};
use http::header::{HeaderMap, HeaderName, COOKIE};
use http::Method;
use std::borrow::Cow;
use std::net::IpAddr;

/// The head of a request.
#[derive(Clone, Copy, Debug)]
pub struct Head<'r> {
    /// Its method.
    pub method: &'r Method,
    /// Its path, in normal form.
    pub path: &'r str,
    /// Its query, without the mark; empty: none.
    pub query: &'r str,
    /// Its headers.
    pub headers: &'r HeaderMap,
    /// Where its client connected from.
    pub client: IpAddr,
}

/// A value. An expression of a type that can't be absent never has `Absent`.
#[derive(Clone, Debug, PartialEq)]
pub enum Value<'r> {
    /// Nothing.
    Absent,
    /// A truth.
    Bool(bool),
    /// A number.
    Int(i64),
    /// A span of time, in microseconds.
    Duration(i64),
    /// A text.
    Str(Cow<'r, str>),
    /// Bytes.
    Bytes(Cow<'r, [u8]>),
    /// An address.
    Ip(IpAddr),
    /// Texts.
    List(List<'r>),
}

/// A list of texts, taken apart as it is looked at.
#[derive(Clone, Debug, PartialEq)]
pub enum List<'r> {
    /// Parts of a path.
    Segments(&'r str),
    /// All values of a header that are texts.
    Headers(&'r HeaderMap, &'r HeaderName),
    /// All values of a query parameter.
    Query(&'r str, &'r str),
    /// Parts of a text.
    Split(Cow<'r, str>, &'r str),
}

impl<'r> List<'r> {
    /// Looks at each text until `look` wants no more.
    pub(crate) fn each(&self, mut look: impl FnMut(Cow<'_, str>) -> bool) {
        match self {
            List::Segments(path) => {
                let mut parts = path
                    .split('/')
                    .skip(1)
                    .take(SEGMENTS_MOST)
                    .filter(|s| !s.is_empty());
                parts.all(|s| look(Cow::Borrowed(s)));
            }
            List::Headers(headers, name) => {
                let texts = headers
                    .get_all(*name)
                    .iter()
                    .filter_map(|v| simdutf8::basic::from_utf8(v.as_bytes()).ok());
                texts.take(PARTS_MOST).map(Cow::Borrowed).all(look);
            }
            List::Query(query, name) => {
                pairs(query)
                    .filter(|(n, _)| n == name)
                    .take(PARTS_MOST)
                    .all(|(_, value)| look(value));
            }
            List::Split(text, separator) => {
                let mut letters = separator.chars();
                if separator.is_empty() {
                    look(Cow::Borrowed(text));
                } else if let (Some(one), None) = (letters.next(), letters.next()) {
                    // By far the most, and much faster to find.
                    text.split(one)
                        .take(PARTS_MOST)
                        .all(|s| look(Cow::Borrowed(s)));
                } else {
                    text.split(separator)
                        .take(PARTS_MOST)
                        .all(|s| look(Cow::Borrowed(s)));
                }
            }
        }
    }
}

impl Value<'_> {
    /// As it is shown to people.
    pub fn show(&self) -> String {
        match self {
            Value::Absent => "absent".to_owned(),
            Value::Bool(truth) => truth.to_string(),
            Value::Int(number) => number.to_string(),
            Value::Duration(micros) => format!("{micros}us"),
            Value::Str(text) => format!("{text:?}"),
            Value::Bytes(bytes) => format!("b\"{}\"", bytes.escape_ascii()),
            Value::Ip(address) => address.to_string(),
            Value::List(list) => {
                let mut all = Vec::new();
                list.each(|text| {
                    all.push(format!("{text:?}"));
                    all.len() < 16
                });
                format!("[{}]", all.join(", "))
            }
        }
    }
}

/// The only value of a header, if it is a text. Two values are none: nothing tells which the host will go by.
pub(crate) fn header<'r>(headers: &'r HeaderMap, name: &HeaderName) -> Option<&'r str> {
    let mut all = headers.get_all(name).iter();
    let only = all.next().filter(|_| all.next().is_none())?;
    simdutf8::basic::from_utf8(only.as_bytes()).ok()
}

pub(crate) fn header_bytes<'r>(headers: &'r HeaderMap, name: &HeaderName) -> Option<&'r [u8]> {
    let mut all = headers.get_all(name).iter();
    all.next()
        .filter(|_| all.next().is_none())
        .map(|v| v.as_bytes())
}

pub(crate) fn cookie<'r>(headers: &'r HeaderMap, name: &str) -> Option<&'r str> {
    let lines = headers
        .get_all(COOKIE)
        .iter()
        .filter_map(|line| simdutf8::basic::from_utf8(line.as_bytes()).ok());
    let mut all = lines.flat_map(|line| line.split(';')).filter_map(|pair| {
        pair.trim_ascii_start()
            .strip_prefix(name)?
            .strip_prefix('=')
            .map(str::trim_ascii_end)
    });
    all.next().filter(|_| all.next().is_none())
}

/// The only value of a query parameter.
pub(crate) fn query<'r>(query: &'r str, name: &str) -> Option<Cow<'r, str>> {
    let mut all = pairs(query).filter(|(own, _)| own == name);
    all.next()
        .filter(|_| all.next().is_none())
        .map(|(_, value)| value)
}

fn pairs(query: &str) -> impl Iterator<Item = (Cow<'_, str>, Cow<'_, str>)> {
    query
        .split('&')
        .filter(|pair| !pair.is_empty())
        .map(|pair| {
            let (name, value) = pair.split_once('=').unwrap_or((pair, ""));
            (decoded(name), decoded(value))
        })
}

/// Escapes and `+` as forms write them; what is no escape stays as it is, and so does what would be no text.
fn decoded(text: &str) -> Cow<'_, str> {
    if !text.contains(['%', '+']) {
        return Cow::Borrowed(text);
    }
    let mut bytes = Vec::with_capacity(text.len());
    let mut rest = text.as_bytes();
    while let Some((&byte, after)) = rest.split_first() {
        let escape = (byte == b'%')
            .then(|| after.get(..2))
            .flatten()
            .filter(|d| d.iter().all(u8::is_ascii_hexdigit));
        let value = escape.and_then(|d| u8::from_str_radix(std::str::from_utf8(d).ok()?, 16).ok());
        match value {
            Some(value) => {
                bytes.push(value);
                rest = &after[2..];
            }
            None => {
                bytes.push(if byte == b'+' { b' ' } else { byte });
                rest = after;
            }
        }
    }
    match String::from_utf8(bytes) {
        Ok(decoded) => Cow::Owned(decoded),
        Err(_) => Cow::Borrowed(text),
    }
}

/// The stated hash for sampling: FNV-1a over the bytes, 64 bits, mixed by the finalizer of `MurmurHash3`. It never changes.
pub fn hash(text: &[u8]) -> u64 {
    let fnv = text.iter().fold(0xcbf2_9ce4_8422_2325_u64, |hash, &byte| {
        (hash ^ u64::from(byte)).wrapping_mul(0x0000_0100_0000_01b3)
    });
    let mut mixed = fnv;
    mixed = (mixed ^ (mixed >> 33)).wrapping_mul(0xff51_afd7_ed55_8ccd);
    mixed = (mixed ^ (mixed >> 33)).wrapping_mul(0xc4ce_b9fe_1a85_ec53);
    mixed ^ (mixed >> 33)
}

/// One part of a key: its length in front, so that no two lists of parts give one key.
pub(crate) fn push_part(key: &mut String, part: &str) {
    use std::fmt::Write;
    let _ = write!(key, "{}:{part}", part.len());
}
