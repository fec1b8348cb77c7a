//! Finds the end of a request's head in the bytes of a connection.

/// How far the end of a head has come, as hyper sees it: an empty line, which may lack its CR.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum HeadScan {
    /// Empty lines ahead of a head are skipped.
    Before,
    /// Within a line.
    Line,
    /// At the start of a line.
    LineStart,
    /// After a CR at the start of a line.
    LineStartCr,
    /// The head is complete.
    Complete,
}

impl HeadScan {
    /// The state after one more byte.
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
