//! Evaluates compiled expressions. Evaluation can't fail, and the value of a shared node is computed once per request.

use crate::bounds::*;
use crate::program::{Node, Program};
use crate::value::{cookie, hash, header, header_bytes, push_key_part, query, Head, List, Value};
use crate::Id;
use std::borrow::Cow;

/// Counts the steps of an evaluation.
pub trait Meter {
    /// Adds steps to the count.
    fn step(&mut self, count: u64);
}

/// A meter that counts nothing.
#[derive(Clone, Copy, Debug, Default)]
pub struct Unmetered;

impl Meter for Unmetered {
    fn step(&mut self, _: u64) {}
}

/// A meter that counts the steps.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Steps(pub u64);

impl Meter for Steps {
    fn step(&mut self, count: u64) {
        self.0 += count;
    }
}

/// Memoized values of shared nodes for one request.
#[derive(Debug, Default)]
pub(crate) struct Memo<'r> {
    values: Vec<Option<Value<'r>>>,
}

/// State that the evaluations for one request share. It allocates when the first shared node is evaluated.
#[derive(Debug, Default)]
pub struct Scratch<'r>(Memo<'r>);

fn both_strings<'v>(a: &'v Value<'_>, b: &'v Value<'_>) -> Option<(&'v str, &'v str)> {
    match (a, b) {
        (Value::Str(a), Value::Str(b)) => Some((a, b)),
        _ => None,
    }
}

fn length(text: &str) -> u32 {
    u32::try_from(text.len()).unwrap_or(u32::MAX)
}

/// Counts the visited elements of a list and their bytes.
#[derive(Default)]
struct ListScan {
    elements: u64,
    bytes: u64,
}

impl ListScan {
    fn visit(&mut self, element: &str) {
        self.elements += 1;
        self.bytes += element.len() as u64;
    }

    fn steps(&self, list: &List<'_>) -> u64 {
        let parse_steps = match list {
            List::Query(query, _) => (query.len() as u64 + 1) * STEPS_PER_PAIR_BYTE,
            _ => 0,
        };
        parse_steps + self.elements * STEPS_PER_LIST_ELEMENT + self.bytes / 16 + 1
    }
}

impl Program {
    /// Whether a condition holds for a request.
    pub fn holds(&self, id: Id, head: &Head<'_>) -> bool {
        self.value(id, head, &mut Memo::default(), &mut Unmetered) == Value::Bool(true)
    }

    /// Evaluates an expression for a request.
    pub fn evaluate<'r>(&'r self, id: Id, head: &Head<'r>) -> Value<'r> {
        self.value(id, head, &mut Memo::default(), &mut Unmetered)
    }

    /// Evaluates an expression for a request, and memoizes the values of shared nodes in `scratch`.
    pub fn evaluate_with<'r>(
        &'r self,
        id: Id,
        head: &Head<'r>,
        scratch: &mut Scratch<'r>,
        meter: &mut impl Meter,
    ) -> Value<'r> {
        self.value(id, head, &mut scratch.0, meter)
    }

    pub(crate) fn value<'r>(
        &'r self,
        id: Id,
        head: &Head<'r>,
        memo: &mut Memo<'r>,
        meter: &mut impl Meter,
    ) -> Value<'r> {
        let index = id.0 as usize;
        // While the program is being built, `shared` is empty and nothing is memoized.
        if !self.shared.get(index).copied().unwrap_or(false) {
            return self.compute(id, head, memo, meter);
        }
        if let Some(Some(known)) = memo.values.get(index) {
            return known.clone();
        }
        let value = self.compute(id, head, memo, meter);
        if memo.values.is_empty() {
            memo.values.resize(self.nodes.len(), None);
        }
        if let Some(slot) = memo.values.get_mut(index) {
            *slot = Some(value.clone());
        }
        value
    }

    fn compute<'r>(
        &'r self,
        id: Id,
        head: &Head<'r>,
        memo: &mut Memo<'r>,
        meter: &mut impl Meter,
    ) -> Value<'r> {
        let string =
            |text: Option<&'r str>| text.map_or(Value::Absent, |t| Value::Str(Cow::Borrowed(t)));
        match &self.nodes[id.0 as usize] {
            Node::Bool(value) => Value::Bool(*value),
            Node::Int(number) => Value::Int(*number),
            Node::Duration(micros) => Value::Duration(*micros),
            Node::Str(value) => Value::Str(Cow::Borrowed(value)),
            Node::Bytes(value) => Value::Bytes(Cow::Borrowed(value)),
            Node::Method => Value::Str(Cow::Borrowed(head.method.as_str())),
            Node::Path => Value::Str(Cow::Borrowed(head.path)),
            Node::Segments => Value::List(List::Segments(head.path)),
            Node::Length => {
                meter.step(4);
                let value = header(head.headers, &http::header::CONTENT_LENGTH).and_then(parse_int);
                value.map_or(Value::Absent, Value::Int)
            }
            Node::Timeout => {
                meter.step(4);
                let value = header(head.headers, &http::HeaderName::from_static("x-timeout"))
                    .and_then(parse_timeout);
                value.map_or(Value::Absent, Value::Duration)
            }
            Node::Client => Value::Ip(head.client),
            Node::Header(name) => {
                let value = header(head.headers, name);
                meter.step(word_steps(value.map_or(0, length)));
                string(value)
            }
            Node::HeaderBytes(name) => {
                meter.step(2);
                header_bytes(head.headers, name)
                    .map_or(Value::Absent, |b| Value::Bytes(Cow::Borrowed(b)))
            }
            Node::Headers(name) => Value::List(List::Headers(head.headers, name)),
            Node::Cookie(name) => {
                let lines = head.headers.get_all(http::header::COOKIE).iter();
                let bytes: usize = lines.map(|l| l.len()).sum();
                if bytes > MAX_PAIRS_BYTES {
                    return Value::Absent;
                }
                meter.step((bytes as u64 + 1) * STEPS_PER_PAIR_BYTE);
                string(cookie(head.headers, name))
            }
            Node::Query(name) => {
                if head.query.len() > MAX_PAIRS_BYTES {
                    return Value::Absent;
                }
                meter.step((head.query.len() as u64 + 1) * STEPS_PER_PAIR_BYTE);
                query(head.query, name).map_or(Value::Absent, Value::Str)
            }
            Node::QueryAll(name) if head.query.len() > MAX_PAIRS_BYTES => {
                Value::List(List::Query("", name))
            }
            Node::QueryAll(name) => Value::List(List::Query(head.query, name)),
            Node::Lower(a) => match self.value(*a, head, memo, meter) {
                Value::Str(value) => {
                    meter.step(byte_steps(length(&value)));
                    // Most values are in lower case already.
                    let is_lower = value.bytes().all(|b| !b.is_ascii_uppercase());
                    Value::Str(if is_lower {
                        value
                    } else {
                        Cow::Owned(value.to_ascii_lowercase())
                    })
                }
                other => other,
            },
            Node::Trim(a) => match self.value(*a, head, memo, meter) {
                Value::Str(value) => {
                    meter.step(word_steps(length(&value)));
                    Value::Str(match value {
                        Cow::Borrowed(value) => Cow::Borrowed(value.trim_ascii()),
                        Cow::Owned(value) => Cow::Owned(value.trim_ascii().to_owned()),
                    })
                }
                other => other,
            },
            Node::Split(a, separator) => match self.value(*a, head, memo, meter) {
                Value::Str(value) if value.len() > MAX_SPLIT_BYTES => {
                    Value::List(List::Split(Cow::Borrowed(""), ""))
                }
                Value::Str(value) => Value::List(List::Split(value, separator)),
                other => other,
            },
            Node::Nth(a, index) => match self.value(*a, head, memo, meter) {
                Value::List(list) => {
                    let (mut remaining, mut scan, mut found) = (*index, ListScan::default(), None);
                    list.for_each_while(|element| {
                        scan.visit(&element);
                        if remaining == 0 {
                            found = Some(element.into_owned());
                        }
                        remaining = remaining.wrapping_sub(1);
                        found.is_none()
                    });
                    meter.step(scan.steps(&list));
                    found.map_or(Value::Absent, |value| Value::Str(Cow::Owned(value)))
                }
                _ => Value::Absent,
            },
            Node::ParseInt(a) => {
                meter.step(4);
                match self.value(*a, head, memo, meter) {
                    Value::Str(value) => parse_int(&value).map_or(Value::Absent, Value::Int),
                    _ => Value::Absent,
                }
            }
            Node::Len(a) => {
                let count = match self.value(*a, head, memo, meter) {
                    Value::Str(value) => value.len(),
                    Value::Bytes(value) => value.len(),
                    Value::List(list) => {
                        let mut scan = ListScan::default();
                        list.for_each_while(|element| {
                            scan.visit(&element);
                            true
                        });
                        meter.step(scan.steps(&list));
                        scan.elements as usize
                    }
                    _ => 0,
                };
                Value::Int(i64::try_from(count).unwrap_or(i64::MAX))
            }
            Node::Hash(a, modulus) => match self.value(*a, head, memo, meter) {
                Value::Str(value) => {
                    let value = &value.as_bytes()[..value.len().min(MAX_SPLIT_BYTES)];
                    meter.step(2 * value.len() as u64 + 1);
                    Value::Int((hash(value) % u64::from((*modulus).max(1))) as i64)
                }
                _ => Value::Int(0),
            },
            Node::Concat(parts) => {
                let mut key = String::new();
                for part in parts {
                    match self.value(*part, head, memo, meter) {
                        Value::Str(value) => push_key_part(&mut key, &value),
                        Value::Int(number) => push_key_part(&mut key, &number.to_string()),
                        _ => return Value::Absent,
                    }
                }
                meter.step(word_steps(length(&key)));
                Value::Str(Cow::Owned(key))
            }
            Node::Present(a) => Value::Bool(self.value(*a, head, memo, meter) != Value::Absent),
            Node::Default(a, b) => match self.value(*a, head, memo, meter) {
                Value::Absent => self.value(*b, head, memo, meter),
                found => found,
            },
            Node::Not(a) => Value::Bool(self.value(*a, head, memo, meter) == Value::Bool(false)),
            Node::And(a, b) => {
                meter.step(1);
                let result = self.value(*a, head, memo, meter) == Value::Bool(true)
                    && self.value(*b, head, memo, meter) == Value::Bool(true);
                Value::Bool(result)
            }
            Node::Or(a, b) => {
                meter.step(1);
                let result = self.value(*a, head, memo, meter) == Value::Bool(true)
                    || self.value(*b, head, memo, meter) == Value::Bool(true);
                Value::Bool(result)
            }
            Node::Equal(a, b) => {
                let (a, b) = (
                    self.value(*a, head, memo, meter),
                    self.value(*b, head, memo, meter),
                );
                if let Some((a, b)) = both_strings(&a, &b) {
                    meter.step(word_steps(length(a).min(length(b))));
                }
                Value::Bool(a == b)
            }
            Node::Less(a, b) => Value::Bool(
                self.compare(*a, *b, head, memo, meter)
                    .is_some_and(|o| o.is_lt()),
            ),
            Node::LessEqual(a, b) => Value::Bool(
                self.compare(*a, *b, head, memo, meter)
                    .is_some_and(|o| o.is_le()),
            ),
            Node::InStrings(a, all) => match self.value(*a, head, memo, meter) {
                Value::Str(value) => {
                    let longest = all.iter().map(|t| length(t)).max().unwrap_or(0);
                    meter.step(
                        u64::from(all.len().max(1).ilog2() + 1)
                            * word_steps(longest.min(length(&value))),
                    );
                    Value::Bool(all.binary_search_by(|t| (**t).cmp(&*value)).is_ok())
                }
                _ => Value::Bool(false),
            },
            Node::InInts(a, all) => match self.value(*a, head, memo, meter) {
                Value::Int(value) => {
                    meter.step(u64::from(all.len().max(1).ilog2() + 1));
                    Value::Bool(all.binary_search(&value).is_ok())
                }
                _ => Value::Bool(false),
            },
            Node::InList(a, b) => {
                let (expected, list) = (
                    self.value(*a, head, memo, meter),
                    self.value(*b, head, memo, meter),
                );
                let (Value::Str(expected), Value::List(list)) = (expected, list) else {
                    return Value::Bool(false);
                };
                let (mut found, mut scan) = (false, ListScan::default());
                list.for_each_while(|element| {
                    scan.visit(&element);
                    found = element == expected;
                    !found
                });
                meter.step(scan.steps(&list));
                Value::Bool(found)
            }
            Node::InNetworks(a, all) => match self.value(*a, head, memo, meter) {
                Value::Ip(value) => {
                    meter.step(all.len() as u64);
                    Value::Bool(all.iter().any(|net| net.contains(&value)))
                }
                _ => Value::Bool(false),
            },
            Node::StartsWith(a, b) => {
                let (a, b) = (
                    self.value(*a, head, memo, meter),
                    self.value(*b, head, memo, meter),
                );
                let Some((a, b)) = both_strings(&a, &b) else {
                    return Value::Bool(false);
                };
                meter.step(word_steps(length(a).min(length(b))));
                Value::Bool(a.starts_with(b))
            }
            Node::EndsWith(a, b) => {
                let (a, b) = (
                    self.value(*a, head, memo, meter),
                    self.value(*b, head, memo, meter),
                );
                let Some((a, b)) = both_strings(&a, &b) else {
                    return Value::Bool(false);
                };
                meter.step(word_steps(length(a).min(length(b))));
                Value::Bool(a.ends_with(b))
            }
            Node::Contains(a, b) => {
                let (a, b) = (
                    self.value(*a, head, memo, meter),
                    self.value(*b, head, memo, meter),
                );
                let Some((a, b)) = both_strings(&a, &b) else {
                    return Value::Bool(false);
                };
                meter.step(byte_steps(length(a)) + word_steps(length(b)));
                Value::Bool(memchr::memmem::find(a.as_bytes(), b.as_bytes()).is_some())
            }
            Node::Matches(a, pattern) => match self.value(*a, head, memo, meter) {
                Value::Str(value) => {
                    if value.len() > MAX_MATCH_BYTES {
                        return Value::Bool(false);
                    }
                    meter.step((u64::from(length(&value)) + 1) * STEPS_PER_MATCH_BYTE);
                    Value::Bool(
                        self.patterns
                            .get(*pattern as usize)
                            .is_some_and(|p| p.is_match(&value)),
                    )
                }
                _ => Value::Bool(false),
            },
        }
    }

    /// Compares two ints or two durations.
    fn compare<'r>(
        &'r self,
        a: Id,
        b: Id,
        head: &Head<'r>,
        memo: &mut Memo<'r>,
        meter: &mut impl Meter,
    ) -> Option<std::cmp::Ordering> {
        meter.step(1);
        match (
            self.value(a, head, memo, meter),
            self.value(b, head, memo, meter),
        ) {
            (Value::Int(a), Value::Int(b)) | (Value::Duration(a), Value::Duration(b)) => {
                Some(a.cmp(&b))
            }
            _ => None,
        }
    }
}

/// Parses an integer with an optional minus sign; `None` if it is invalid or too large.
pub(crate) fn parse_int(text: &str) -> Option<i64> {
    if text.len() > 20 || text.starts_with('+') {
        return None;
    }
    text.parse().ok()
}

/// Parses the value of `X-Timeout`: a number with the unit `m` (milliseconds) or `u` (microseconds).
pub(crate) fn parse_timeout(text: &str) -> Option<i64> {
    let (digits, unit) = text.split_at_checked(text.len().checked_sub(1)?)?;
    let scale = match unit {
        "m" => 1_000,
        "u" => 1,
        _ => return None,
    };
    if digits.is_empty() || !digits.bytes().all(|b| b.is_ascii_digit()) {
        return None;
    }
    parse_int(digits)?.checked_mul(scale)
}
