//! Evaluation: a walk over the arena. Nothing here fails, and no node is walked twice that stands in two places.

use crate::bounds::*;
use crate::program::{Node, Program};
use crate::value::{cookie, hash, header, header_bytes, push_part, query, Head, List, Value};
use crate::Id;
use std::borrow::Cow;

/// Counts steps, or nothing.
pub trait Meter {
    /// So many more.
    fn step(&mut self, count: u64);
}

/// Counts nothing.
#[derive(Clone, Copy, Debug, Default)]
pub struct Unmetered;

impl Meter for Unmetered {
    fn step(&mut self, _: u64) {}
}

/// Counts steps.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Steps(pub u64);

impl Meter for Steps {
    fn step(&mut self, count: u64) {
        self.0 += count;
    }
}

/// Values of shared nodes for one request, found as they are asked for.
#[derive(Debug, Default)]
pub(crate) struct Memo<'r> {
    values: Vec<Option<Value<'r>>>,
}

/// What one request's expressions share. It allocates only when a shared part is first evaluated.
#[derive(Debug, Default)]
pub struct Scratch<'r>(Memo<'r>);

fn texts<'v>(a: &'v Value<'_>, b: &'v Value<'_>) -> Option<(&'v str, &'v str)> {
    match (a, b) {
        (Value::Str(a), Value::Str(b)) => Some((a, b)),
        _ => None,
    }
}

fn length(text: &str) -> u32 {
    u32::try_from(text.len()).unwrap_or(u32::MAX)
}

/// What was looked at of a list.
#[derive(Default)]
struct Seen {
    parts: u64,
    bytes: u64,
}

impl Seen {
    fn part(&mut self, part: &str) {
        self.parts += 1;
        self.bytes += part.len() as u64;
    }

    fn steps(&self, list: &List<'_>) -> u64 {
        let read = match list {
            List::Query(query, _) => (query.len() as u64 + 1) * PAIR_STEPS,
            _ => 0,
        };
        read + self.parts * PART_STEPS + self.bytes / 16 + 1
    }
}

impl Program {
    /// Does the condition hold?
    pub fn holds(&self, id: Id, head: &Head<'_>) -> bool {
        self.value(id, head, &mut Memo::default(), &mut Unmetered) == Value::Bool(true)
    }

    /// The value of an expression.
    pub fn evaluate<'r>(&'r self, id: Id, head: &Head<'r>) -> Value<'r> {
        self.value(id, head, &mut Memo::default(), &mut Unmetered)
    }

    /// The value of an expression; what it shares with others of the same request is kept in `scratch`.
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
        let place = id.0 as usize;
        // While the program is being built nothing is known to be shared.
        if !self.shared.get(place).copied().unwrap_or(false) {
            return self.compute(id, head, memo, meter);
        }
        if let Some(Some(known)) = memo.values.get(place) {
            return known.clone();
        }
        let value = self.compute(id, head, memo, meter);
        if memo.values.is_empty() {
            memo.values.resize(self.nodes.len(), None);
        }
        if let Some(slot) = memo.values.get_mut(place) {
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
        let text =
            |text: Option<&'r str>| text.map_or(Value::Absent, |t| Value::Str(Cow::Borrowed(t)));
        match &self.nodes[id.0 as usize] {
            Node::Bool(truth) => Value::Bool(*truth),
            Node::Int(number) => Value::Int(*number),
            Node::Duration(micros) => Value::Duration(*micros),
            Node::Str(own) => Value::Str(Cow::Borrowed(own)),
            Node::Bytes(own) => Value::Bytes(Cow::Borrowed(own)),
            Node::Method => Value::Str(Cow::Borrowed(head.method.as_str())),
            Node::Path => Value::Str(Cow::Borrowed(head.path)),
            Node::Segments => Value::List(List::Segments(head.path)),
            Node::Length => {
                meter.step(4);
                let own = header(head.headers, &http::header::CONTENT_LENGTH).and_then(number);
                own.map_or(Value::Absent, Value::Int)
            }
            Node::Timeout => {
                meter.step(4);
                let own = header(head.headers, &http::HeaderName::from_static("x-timeout"))
                    .and_then(timeout);
                own.map_or(Value::Absent, Value::Duration)
            }
            Node::Client => Value::Ip(head.client),
            Node::Header(name) => {
                let own = header(head.headers, name);
                meter.step(words(own.map_or(0, length)));
                text(own)
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
                if bytes > PAIRS_BYTES {
                    return Value::Absent;
                }
                meter.step((bytes as u64 + 1) * PAIR_STEPS);
                text(cookie(head.headers, name))
            }
            Node::Query(name) => {
                if head.query.len() > PAIRS_BYTES {
                    return Value::Absent;
                }
                meter.step((head.query.len() as u64 + 1) * PAIR_STEPS);
                query(head.query, name).map_or(Value::Absent, Value::Str)
            }
            Node::QueryAll(name) if head.query.len() > PAIRS_BYTES => {
                Value::List(List::Query("", name))
            }
            Node::QueryAll(name) => Value::List(List::Query(head.query, name)),
            Node::Lower(a) => match self.value(*a, head, memo, meter) {
                Value::Str(own) => {
                    meter.step(each(length(&own)));
                    // Most are in small letters already.
                    let small = own.bytes().all(|b| !b.is_ascii_uppercase());
                    Value::Str(if small {
                        own
                    } else {
                        Cow::Owned(own.to_ascii_lowercase())
                    })
                }
                other => other,
            },
            Node::Trim(a) => match self.value(*a, head, memo, meter) {
                Value::Str(own) => {
                    meter.step(words(length(&own)));
                    Value::Str(match own {
                        Cow::Borrowed(own) => Cow::Borrowed(own.trim_ascii()),
                        Cow::Owned(own) => Cow::Owned(own.trim_ascii().to_owned()),
                    })
                }
                other => other,
            },
            Node::Split(a, separator) => match self.value(*a, head, memo, meter) {
                Value::Str(own) if own.len() > PARTS_BYTES => {
                    Value::List(List::Split(Cow::Borrowed(""), ""))
                }
                Value::Str(own) => Value::List(List::Split(own, separator)),
                other => other,
            },
            Node::Nth(a, place) => match self.value(*a, head, memo, meter) {
                Value::List(list) => {
                    let (mut left, mut seen, mut found) = (*place, Seen::default(), None);
                    list.each(|part| {
                        seen.part(&part);
                        if left == 0 {
                            found = Some(part.into_owned());
                        }
                        left = left.wrapping_sub(1);
                        found.is_none()
                    });
                    meter.step(seen.steps(&list));
                    found.map_or(Value::Absent, |own| Value::Str(Cow::Owned(own)))
                }
                _ => Value::Absent,
            },
            Node::IntOf(a) => {
                meter.step(4);
                match self.value(*a, head, memo, meter) {
                    Value::Str(own) => number(&own).map_or(Value::Absent, Value::Int),
                    _ => Value::Absent,
                }
            }
            Node::Len(a) => {
                let count = match self.value(*a, head, memo, meter) {
                    Value::Str(own) => own.len(),
                    Value::Bytes(own) => own.len(),
                    Value::List(list) => {
                        let mut seen = Seen::default();
                        list.each(|part| {
                            seen.part(&part);
                            true
                        });
                        meter.step(seen.steps(&list));
                        seen.parts as usize
                    }
                    _ => 0,
                };
                Value::Int(i64::try_from(count).unwrap_or(i64::MAX))
            }
            Node::Hash(a, most) => match self.value(*a, head, memo, meter) {
                Value::Str(own) => {
                    let own = &own.as_bytes()[..own.len().min(PARTS_BYTES)];
                    meter.step(2 * own.len() as u64 + 1);
                    Value::Int((hash(own) % u64::from((*most).max(1))) as i64)
                }
                _ => Value::Int(0),
            },
            Node::Concat(parts) => {
                let mut key = String::new();
                for part in parts {
                    match self.value(*part, head, memo, meter) {
                        Value::Str(own) => push_part(&mut key, &own),
                        Value::Int(number) => push_part(&mut key, &number.to_string()),
                        _ => return Value::Absent,
                    }
                }
                meter.step(words(length(&key)));
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
                let both = self.value(*a, head, memo, meter) == Value::Bool(true)
                    && self.value(*b, head, memo, meter) == Value::Bool(true);
                Value::Bool(both)
            }
            Node::Or(a, b) => {
                meter.step(1);
                let one = self.value(*a, head, memo, meter) == Value::Bool(true)
                    || self.value(*b, head, memo, meter) == Value::Bool(true);
                Value::Bool(one)
            }
            Node::Equal(a, b) => {
                let (a, b) = (
                    self.value(*a, head, memo, meter),
                    self.value(*b, head, memo, meter),
                );
                if let Some((a, b)) = texts(&a, &b) {
                    meter.step(words(length(a).min(length(b))));
                }
                Value::Bool(a == b)
            }
            Node::Less(a, b) => Value::Bool(
                self.order(*a, *b, head, memo, meter)
                    .is_some_and(|o| o.is_lt()),
            ),
            Node::LessEqual(a, b) => Value::Bool(
                self.order(*a, *b, head, memo, meter)
                    .is_some_and(|o| o.is_le()),
            ),
            Node::InTexts(a, all) => match self.value(*a, head, memo, meter) {
                Value::Str(own) => {
                    let longest = all.iter().map(|t| length(t)).max().unwrap_or(0);
                    meter.step(
                        u64::from(all.len().max(1).ilog2() + 1) * words(longest.min(length(&own))),
                    );
                    Value::Bool(all.binary_search_by(|t| (**t).cmp(&*own)).is_ok())
                }
                _ => Value::Bool(false),
            },
            Node::InInts(a, all) => match self.value(*a, head, memo, meter) {
                Value::Int(own) => {
                    meter.step(u64::from(all.len().max(1).ilog2() + 1));
                    Value::Bool(all.binary_search(&own).is_ok())
                }
                _ => Value::Bool(false),
            },
            Node::InList(a, b) => {
                let (wanted, list) = (
                    self.value(*a, head, memo, meter),
                    self.value(*b, head, memo, meter),
                );
                let (Value::Str(wanted), Value::List(list)) = (wanted, list) else {
                    return Value::Bool(false);
                };
                let (mut found, mut seen) = (false, Seen::default());
                list.each(|part| {
                    seen.part(&part);
                    found = part == wanted;
                    !found
                });
                meter.step(seen.steps(&list));
                Value::Bool(found)
            }
            Node::InNets(a, all) => match self.value(*a, head, memo, meter) {
                Value::Ip(own) => {
                    meter.step(all.len() as u64);
                    Value::Bool(all.iter().any(|net| net.contains(&own)))
                }
                _ => Value::Bool(false),
            },
            Node::StartsWith(a, b) => {
                let (a, b) = (
                    self.value(*a, head, memo, meter),
                    self.value(*b, head, memo, meter),
                );
                let Some((a, b)) = texts(&a, &b) else {
                    return Value::Bool(false);
                };
                meter.step(words(length(a).min(length(b))));
                Value::Bool(a.starts_with(b))
            }
            Node::EndsWith(a, b) => {
                let (a, b) = (
                    self.value(*a, head, memo, meter),
                    self.value(*b, head, memo, meter),
                );
                let Some((a, b)) = texts(&a, &b) else {
                    return Value::Bool(false);
                };
                meter.step(words(length(a).min(length(b))));
                Value::Bool(a.ends_with(b))
            }
            Node::Contains(a, b) => {
                let (a, b) = (
                    self.value(*a, head, memo, meter),
                    self.value(*b, head, memo, meter),
                );
                let Some((a, b)) = texts(&a, &b) else {
                    return Value::Bool(false);
                };
                meter.step(each(length(a)) + words(length(b)));
                Value::Bool(memchr::memmem::find(a.as_bytes(), b.as_bytes()).is_some())
            }
            Node::Matches(a, pattern) => match self.value(*a, head, memo, meter) {
                Value::Str(own) => {
                    if own.len() > MATCH_BYTES {
                        return Value::Bool(false);
                    }
                    meter.step((u64::from(length(&own)) + 1) * MATCH_STEPS);
                    Value::Bool(
                        self.patterns
                            .get(*pattern as usize)
                            .is_some_and(|p| p.is_match(&own)),
                    )
                }
                _ => Value::Bool(false),
            },
        }
    }

    fn order<'r>(
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

/// A whole number; a sign may stand before it. What is too large is none.
pub(crate) fn number(text: &str) -> Option<i64> {
    if text.len() > 20 || text.starts_with('+') {
        return None;
    }
    text.parse().ok()
}

/// A time as `X-Timeout` has it: `m` milliseconds or `u` microseconds.
pub(crate) fn timeout(text: &str) -> Option<i64> {
    let (digits, unit) = text.split_at_checked(text.len().checked_sub(1)?)?;
    let scale = match unit {
        "m" => 1_000,
        "u" => 1,
        _ => return None,
    };
    if digits.is_empty() || !digits.bytes().all(|b| b.is_ascii_digit()) {
        return None;
    }
    number(digits)?.checked_mul(scale)
}
