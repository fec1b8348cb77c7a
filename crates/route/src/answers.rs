//! What an answer's status and headers mean for the call. The decisions only hear the verdict.

use http::header::{HeaderMap, HeaderName, HeaderValue};
use http::StatusCode;

/// A set of statuses.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StatusSet([u64; 16]);

impl StatusSet {
    /// Puts the statuses `from` to `to` in, both included; what is no status (100 to 999) is passed over.
    pub fn insert(&mut self, from: u16, to: u16) {
        for status in from.max(100)..=to.min(999) {
            self.0[usize::from(status) / 64] |= 1 << (status % 64);
        }
    }

    /// Takes one out.
    pub fn remove(&mut self, status: u16) {
        if let Some(word) = self.0.get_mut(usize::from(status) / 64) {
            *word &= !(1 << (status % 64));
        }
    }

    /// Is it in?
    pub fn contains(&self, status: u16) -> bool {
        self.0
            .get(usize::from(status) / 64)
            .is_some_and(|word| word & (1 << (status % 64)) != 0)
    }
}

/// An answer that proves that the attempt never ran.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Proof {
    /// With this status ...
    pub status: u16,
    /// ... and this header, with this value where one is named.
    pub header: Option<(HeaderName, Option<HeaderValue>)>,
}

impl Proof {
    fn given_by(&self, status: StatusCode, headers: &HeaderMap) -> bool {
        let header = |(name, value): &(HeaderName, Option<HeaderValue>)| match value {
            Some(value) => headers.get_all(name).iter().any(|v| v == value),
            None => headers.contains_key(name),
        };
        status.as_u16() == self.status && self.header.as_ref().is_none_or(header)
    }
}

/// What an answer means.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It is the client's.
    Served,
    /// The host turned the attempt away unseen.
    NeverRan,
    /// The host failed; the attempt may have run.
    Error,
}

/// How answers are read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Answers {
    /// Statuses that count as served.
    pub served: StatusSet,
    /// What proves that an attempt never ran. A status that is served proves nothing.
    pub never_ran: Vec<Proof>,
}

impl Answers {
    /// Statuses 2xx, 3xx and 4xx but 408, 421, 425 and 429 are served; 503 and 504 with `X-Not-Processed: 1` never ran.
    pub fn standard() -> Self {
        let mut served = StatusSet::default();
        served.insert(200, 499);
        [408, 421, 425, 429]
            .into_iter()
            .for_each(|status| served.remove(status));
        Answers {
            served,
            ..Answers::platform()
        }
    }

    /// As on the platform: only 200 is served.
    pub fn platform() -> Self {
        let mut served = StatusSet::default();
        served.insert(200, 200);
        let header = || {
            Some((
                HeaderName::from_static("x-not-processed"),
                Some(HeaderValue::from_static("1")),
            ))
        };
        let proof = |status| Proof {
            status,
            header: header(),
        };
        Answers {
            served,
            never_ran: vec![proof(503), proof(504)],
        }
    }

    /// What an answer means.
    pub fn verdict(&self, status: StatusCode, headers: &HeaderMap) -> Verdict {
        if self.served.contains(status.as_u16()) {
            Verdict::Served
        } else if self
            .never_ran
            .iter()
            .any(|proof| proof.given_by(status, headers))
        {
            Verdict::NeverRan
        } else {
            Verdict::Error
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_verdict_goes_by_status_and_proof() {
        let not_processed = HeaderMap::from_iter([(
            HeaderName::from_static("x-not-processed"),
            HeaderValue::from_static("1"),
        )]);
        let odd = HeaderMap::from_iter([(
            HeaderName::from_static("x-not-processed"),
            HeaderValue::from_static("0"),
        )]);
        let none = HeaderMap::new();
        let (platform, standard) = (Answers::platform(), Answers::standard());
        for (status, headers, on_platform, alone) in [
            (200, &none, Verdict::Served, Verdict::Served),
            (204, &none, Verdict::Error, Verdict::Served),
            (304, &none, Verdict::Error, Verdict::Served),
            (404, &none, Verdict::Error, Verdict::Served),
            (429, &none, Verdict::Error, Verdict::Error),
            (500, &not_processed, Verdict::Error, Verdict::Error),
            (503, &none, Verdict::Error, Verdict::Error),
            (503, &odd, Verdict::Error, Verdict::Error),
            (503, &not_processed, Verdict::NeverRan, Verdict::NeverRan),
            (504, &not_processed, Verdict::NeverRan, Verdict::NeverRan),
            (999, &none, Verdict::Error, Verdict::Error),
        ] {
            let status = StatusCode::from_u16(status).expect("a status");
            assert_eq!(platform.verdict(status, headers), on_platform, "{status}");
            assert_eq!(standard.verdict(status, headers), alone, "{status}");
        }
    }
}
