//! Sources of the tenant or the idempotency key of a request.

use badgerramp_expr::Id;
use http::header::{HeaderMap, HeaderName, COOKIE};
use std::sync::Arc;

/// A compiled expression and its text.
#[derive(Clone, Debug)]
pub struct Expression {
    /// Id of the expression in the table's program.
    pub id: Id,
    /// Source text.
    pub text: Arc<str>,
}

/// Compares only the texts, because ids differ from program to program.
impl PartialEq for Expression {
    fn eq(&self, other: &Self) -> bool {
        self.text == other.text
    }
}

impl Eq for Expression {}

/// The part of a request from which a value is read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Source {
    /// The value of an expression, which [`crate::Table::source_value`] evaluates.
    Expression(Expression),
    /// The value of a header.
    Header(HeaderName),
    /// The value of a cookie.
    Cookie(String),
}

impl Source {
    /// The value of a header or cookie if there is exactly one and it is not empty. Several values count as none,
    /// because it is unknown which of them the endpoint uses.
    pub fn read<'a>(&self, headers: &'a HeaderMap) -> Option<&'a str> {
        let value = match self {
            Source::Expression(_) => return None,
            Source::Header(name) => {
                let mut all = headers.get_all(name).iter();
                let only = all.next().filter(|_| all.next().is_none())?;
                only.to_str().ok()?
            }
            Source::Cookie(wanted) => {
                let lines = headers
                    .get_all(COOKIE)
                    .iter()
                    .filter_map(|line| line.to_str().ok());
                let mut all = lines.flat_map(|line| line.split(';')).filter_map(|pair| {
                    let (name, value) = pair.trim().split_once('=')?;
                    (name == wanted).then_some(value)
                });
                all.next().filter(|_| all.next().is_none())?
            }
        };
        Some(value.trim()).filter(|v| !v.is_empty())
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use http::HeaderValue;

    fn headers(all: &[(&'static str, &'static str)]) -> HeaderMap {
        let pair = |&(name, value)| {
            (
                HeaderName::from_static(name),
                HeaderValue::from_static(value),
            )
        };
        all.iter().map(pair).collect()
    }

    #[test]
    fn a_single_value_is_read_and_several_or_empty_ones_are_ignored() {
        let key = Source::Header(HeaderName::from_static("idempotency-key"));
        assert_eq!(
            key.read(&headers(&[("idempotency-key", " 5c0f ")])),
            Some("5c0f")
        );
        assert_eq!(key.read(&headers(&[("idempotency-key", " ")])), None);
        assert_eq!(key.read(&headers(&[])), None);
        assert_eq!(
            key.read(&headers(&[
                ("idempotency-key", "a"),
                ("idempotency-key", "b")
            ])),
            None
        );
        let user = Source::Cookie("user".to_owned());
        assert_eq!(
            user.read(&headers(&[("cookie", "a=1; user=7f3a; b=2")])),
            Some("7f3a")
        );
        assert_eq!(
            user.read(&headers(&[("cookie", "a=1"), ("cookie", "user=7f3a")])),
            Some("7f3a")
        );
        assert_eq!(
            user.read(&headers(&[("cookie", "user=7f3a; user=8")])),
            None
        );
        assert_eq!(user.read(&headers(&[("cookie", "users=1; user")])), None);
    }
}
