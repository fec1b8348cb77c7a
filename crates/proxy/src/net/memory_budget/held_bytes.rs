//! Bytes that hold their reservation until they have been written.

use super::Reservation;
use bytes::{Buf, Bytes};

/// Bytes with the reservation of their memory. The HTTP library drops them once they have been written.
#[derive(Debug, Default)]
pub struct HeldBytes {
    bytes: Bytes,
    _reservation: Option<Reservation>,
}

impl HeldBytes {
    /// Creates bytes that hold this reservation.
    pub fn new(bytes: Bytes, reservation: Option<Reservation>) -> Self {
        HeldBytes {
            bytes,
            _reservation: reservation,
        }
    }
}

impl From<Bytes> for HeldBytes {
    fn from(bytes: Bytes) -> Self {
        HeldBytes::new(bytes, None)
    }
}

impl Buf for HeldBytes {
    fn remaining(&self) -> usize {
        self.bytes.remaining()
    }

    fn chunk(&self) -> &[u8] {
        self.bytes.chunk()
    }

    fn advance(&mut self, count: usize) {
        self.bytes.advance(count);
    }
}
