//! Values of expressions, and the inputs that are read from a request.

use crate::bounds::{MAX_LIST_ELEMENTS, MAX_PATH_SEGMENTS};
use http::header::{HeaderMap, HeaderName, COOKIE};
use http::Method;
use std::borrow::Cow;
use std::net::IpAddr;

/// The head of a request, as expressions see it.
#[derive(Clone, Copy, Debug)]
pub struct Head<'r> {
    /// The method.
    pub method: &'r Method,
    /// The path in normal form.
    pub path: &'r str,
    /// The query without the question mark; empty if there is none.
    pub query: &'r str,
    /// The headers.
    pub headers: &'r HeaderMap,
    /// The address of the client's connection.
    pub client: IpAddr,
}

/// A value. `Absent` only occurs for expressions whose type is optional.
#[derive(Clone, Debug, PartialEq)]
pub enum Value<'r> {
    /// No value.
    Absent,
    /// A boolean.
    Bool(bool),
    /// An integer.
    Int(i64),
    /// A duration in microseconds.
    Duration(i64),
    /// A string.
    Str(Cow<'r, str>),
    /// Bytes.
    Bytes(Cow<'r, [u8]>),
    /// An IP address.
    Ip(IpAddr),
    /// A list of strings.
    List(List<'r>),
}

/// A list of strings that is parsed while it is iterated.
#[derive(Clone, Debug, PartialEq)]
pub enum List<'r> {
    /// Segments of a path.
    Segments(&'r str),
    /// All values of a header that are valid UTF-8.
    Headers(&'r HeaderMap, &'r HeaderName),
    /// All values of a query parameter.
    Query(&'r str, &'r str),
    /// Parts of a string between separators.
    Split(Cow<'r, str>, &'r str),
}

impl<'r> List<'r> {
    /// Calls `visit` for each element until it returns false.
    pub(crate) fn for_each_while(&self, mut visit: impl FnMut(Cow<'_, str>) -> bool) {
        match self {
            List::Segments(path) => {
                let mut parts = path
                    .split('/')
                    .skip(1)
                    .take(MAX_PATH_SEGMENTS)
                    .filter(|s| !s.is_empty());
                parts.all(|s| visit(Cow::Borrowed(s)));
            }
            List::Headers(headers, name) => {
                let texts = headers
                    .get_all(*name)
                    .iter()
                    .filter_map(|v| simdutf8::basic::from_utf8(v.as_bytes()).ok());
                texts.take(MAX_LIST_ELEMENTS).map(Cow::Borrowed).all(visit);
            }
            List::Query(query, name) => {
                pairs(query)
                    .filter(|(n, _)| n == name)
                    .take(MAX_LIST_ELEMENTS)
                    .all(|(_, value)| visit(value));
            }
            List::Split(text, separator) => {
                let mut characters = separator.chars();
                if separator.is_empty() {
                    visit(Cow::Borrowed(text));
                } else if let (Some(one), None) = (characters.next(), characters.next()) {
                    // Most separators are one character, for which the search is much faster.
                    text.split(one)
                        .take(MAX_LIST_ELEMENTS)
                        .all(|s| visit(Cow::Borrowed(s)));
                } else {
                    text.split(separator)
                        .take(MAX_LIST_ELEMENTS)
                        .all(|s| visit(Cow::Borrowed(s)));
                }
            }
        }
    }
}

impl Value<'_> {
    /// Formats the value for messages. Of a list, only the first elements are shown.
    pub fn display(&self) -> String {
        match self {
            Value::Absent => "absent".to_owned(),
            Value::Bool(value) => value.to_string(),
            Value::Int(number) => number.to_string(),
            Value::Duration(micros) => format!("{micros}us"),
            Value::Str(text) => format!("{text:?}"),
            Value::Bytes(bytes) => format!("b\"{}\"", bytes.escape_ascii()),
            Value::Ip(address) => address.to_string(),
            Value::List(list) => {
                let mut elements = Vec::new();
                list.for_each_while(|text| {
                    elements.push(format!("{text:?}"));
                    elements.len() < 16
                });
                format!("[{}]", elements.join(", "))
            }
        }
    }
}

/// The value of a header, if it is the only one and valid UTF-8. Several values count as none because it is unknown which
/// one the endpoint will use.
pub(crate) fn header<'r>(headers: &'r HeaderMap, name: &HeaderName) -> Option<&'r str> {
    let mut values = headers.get_all(name).iter();
    let only = values.next().filter(|_| values.next().is_none())?;
    simdutf8::basic::from_utf8(only.as_bytes()).ok()
}

/// The value of a header as bytes, if it is the only one.
pub(crate) fn header_bytes<'r>(headers: &'r HeaderMap, name: &HeaderName) -> Option<&'r [u8]> {
    let mut values = headers.get_all(name).iter();
    values
        .next()
        .filter(|_| values.next().is_none())
        .map(|v| v.as_bytes())
}

/// The value of a cookie, if it is the only one of its name.
pub(crate) fn cookie<'r>(headers: &'r HeaderMap, name: &str) -> Option<&'r str> {
    let lines = headers
        .get_all(COOKIE)
        .iter()
        .filter_map(|line| simdutf8::basic::from_utf8(line.as_bytes()).ok());
    let mut values = lines.flat_map(|line| line.split(';')).filter_map(|pair| {
        pair.trim_ascii_start()
            .strip_prefix(name)?
            .strip_prefix('=')
            .map(str::trim_ascii_end)
    });
    values.next().filter(|_| values.next().is_none())
}

/// The value of a query parameter, if it is the only one of its name.
pub(crate) fn query<'r>(query: &'r str, name: &str) -> Option<Cow<'r, str>> {
    let mut values = pairs(query).filter(|(n, _)| n == name);
    values
        .next()
        .filter(|_| values.next().is_none())
        .map(|(_, value)| value)
}

/// The decoded names and values of a query.
fn pairs(query: &str) -> impl Iterator<Item = (Cow<'_, str>, Cow<'_, str>)> {
    query
        .split('&')
        .filter(|pair| !pair.is_empty())
        .map(|pair| {
            let (name, value) = pair.split_once('=').unwrap_or((pair, ""));
            (percent_decode(name), percent_decode(value))
        })
}

/// Decodes a form-encoded string. Invalid escapes are kept, and the string is unchanged if the result is not UTF-8.
fn percent_decode(text: &str) -> Cow<'_, str> {
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

/// The documented hash for sampling: 64-bit FNV-1a, mixed by the finalizer of `MurmurHash3`. It must never change.
pub fn hash(text: &[u8]) -> u64 {
    let fnv = text.iter().fold(0xcbf2_9ce4_8422_2325_u64, |hash, &byte| {
        (hash ^ u64::from(byte)).wrapping_mul(0x0000_0100_0000_01b3)
    });
    let mut mixed = fnv;
    mixed = (mixed ^ (mixed >> 33)).wrapping_mul(0xff51_afd7_ed55_8ccd);
    mixed = (mixed ^ (mixed >> 33)).wrapping_mul(0xc4ce_b9fe_1a85_ec53);
    mixed ^ (mixed >> 33)
}

/// Appends a part to a key, prefixed by its length so that different lists of parts always give different keys.
pub(crate) fn push_key_part(key: &mut String, part: &str) {
    use std::fmt::Write;
    let _ = write!(key, "{}:{part}", part.len());
}
