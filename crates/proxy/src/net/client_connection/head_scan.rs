//! Detection of the end of a request head in the data of a connection.

/// The state of a scan for the end of a head. As in hyper, the head ends with an empty line, and lines may end without
/// CR.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum HeadScan {
    /// Before the head. Empty lines are skipped.
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
