//! Finds the end of a request's head in the bytes of a connection.

/// How far the end of a head has come, as the HTTP library sees it: an empty line, which may lack its CR.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum HeadScan {
    /// Empty lines ahead of a head are skipped.
    Before,
    Line,
    LineStart,
    LineStartCr,
    Complete,
}

impl HeadScan {
    pub(super) fn next(self, byte: u8) -> HeadScan {
        match (self, byte) {
            (HeadScan::Complete, _) | (HeadScan::LineStart | HeadScan::LineStartCr, b'\n') => {
                HeadScan::Complete
            }
            (HeadScan::Before, b'\r' | b'\n') => HeadScan::Before,
            (HeadScan::LineStart, b'\r') => HeadScan::LineStartCr,
            (_, b'\n') => HeadScan::LineStart,
            _ => HeadScan::Line,
        }
    }
}
