//! Classifies responses by their status and headers. The decisions see only the verdict.

use crate::proof::NotExecutedProof;
use http::header::{HeaderMap, HeaderName, HeaderValue};
use http::StatusCode;

/// A set of statuses.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StatusSet([u64; 16]);

impl StatusSet {
    /// Adds the statuses from `from` to `to`, both included. Numbers outside of 100 to 999 are ignored.
    pub fn insert(&mut self, from: u16, to: u16) {
        for status in from.max(100)..=to.min(999) {
            self.0[usize::from(status) / 64] |= 1 << (status % 64);
        }
    }

    /// Removes a status.
    pub fn remove(&mut self, status: u16) {
        if let Some(word) = self.0.get_mut(usize::from(status) / 64) {
            *word &= !(1 << (status % 64));
        }
    }

    /// Whether the set contains a status.
    pub fn contains(&self, status: u16) -> bool {
        self.0
            .get(usize::from(status) / 64)
            .is_some_and(|word| word & (1 << (status % 64)) != 0)
    }
}

/// Classification of a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The response is passed on to the client.
    Served,
    /// The endpoint rejected the attempt without executing it.
    NotExecuted,
    /// The endpoint failed. The attempt may have been executed.
    Error,
}

/// Rules by which responses are classified.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ResponseRules {
    /// Statuses of responses that are passed on to the client.
    pub served: StatusSet,
    /// Responses that prove that an attempt was not executed. A status in `served` takes precedence.
    pub never_ran: Vec<NotExecutedProof>,
}

impl ResponseRules {
    /// The default rules: 2xx, 3xx and 4xx except 408, 421, 425 and 429 are served; 503 and 504 with `X-Not-Processed:
    /// 1` were not executed.
    pub fn standard() -> Self {
        let mut served = StatusSet::default();
        served.insert(200, 499);
        [408, 421, 425, 429]
            .into_iter()
            .for_each(|status| served.remove(status));
        ResponseRules {
            served,
            ..ResponseRules::platform()
        }
    }

    /// The platform's rules: only 200 is served; 503 and 504 with `X-Not-Processed: 1` were not executed.
    pub fn platform() -> Self {
        let mut served = StatusSet::default();
        served.insert(200, 200);
        let header = || {
            Some((
                HeaderName::from_static("x-not-processed"),
                Some(HeaderValue::from_static("1")),
            ))
        };
        let proof = |status| NotExecutedProof {
            status,
            header: header(),
        };
        ResponseRules {
            served,
            never_ran: vec![proof(503), proof(504)],
        }
    }

    /// Classifies a response.
    pub fn verdict(&self, status: StatusCode, headers: &HeaderMap) -> Verdict {
        if self.served.contains(status.as_u16()) {
            Verdict::Served
        } else if self
            .never_ran
            .iter()
            .any(|proof| proof.matches(status, headers))
        {
            Verdict::NotExecuted
        } else {
            Verdict::Error
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn verdict_depends_on_status_and_not_processed_header() {
        let not_processed = HeaderMap::from_iter([(
            HeaderName::from_static("x-not-processed"),
            HeaderValue::from_static("1"),
        )]);
        let wrong_value = HeaderMap::from_iter([(
            HeaderName::from_static("x-not-processed"),
            HeaderValue::from_static("0"),
        )]);
        let no_headers = HeaderMap::new();
        let (platform, standard) = (ResponseRules::platform(), ResponseRules::standard());
        for (status, headers, expected_platform, expected_standard) in [
            (200, &no_headers, Verdict::Served, Verdict::Served),
            (204, &no_headers, Verdict::Error, Verdict::Served),
            (304, &no_headers, Verdict::Error, Verdict::Served),
            (404, &no_headers, Verdict::Error, Verdict::Served),
            (429, &no_headers, Verdict::Error, Verdict::Error),
            (500, &not_processed, Verdict::Error, Verdict::Error),
            (503, &no_headers, Verdict::Error, Verdict::Error),
            (503, &wrong_value, Verdict::Error, Verdict::Error),
            (
                503,
                &not_processed,
                Verdict::NotExecuted,
                Verdict::NotExecuted,
            ),
            (
                504,
                &not_processed,
                Verdict::NotExecuted,
                Verdict::NotExecuted,
            ),
            (999, &no_headers, Verdict::Error, Verdict::Error),
        ] {
            let status = StatusCode::from_u16(status).expect("a status");
            assert_eq!(
                platform.verdict(status, headers),
                expected_platform,
                "{status}"
            );
            assert_eq!(
                standard.verdict(status, headers),
                expected_standard,
                "{status}"
            );
        }
    }
}
