//! Which messages pass verification.

use super::{MessageError, Purpose, MAX_BODY_BYTES};
use crate::secret::SharedSecret;
use crate::wire::AuthenticatedMessage;
use crate::wire::{Request, RevisionChanged};
use proptest::prelude::*;

fn secret(text: &str) -> SharedSecret {
    SharedSecret::new(text.as_bytes()).expect("a secret")
}

#[test]
fn a_seal_fits_one_secret_purpose_version_and_body() {
    let (own, other) = (secret("0123456789abcdef"), secret("0123456789abcdeF"));
    let word = RevisionChanged { revision: 7 };
    let sealed = own.authenticate(Purpose::Request, &word);
    assert_eq!(own.verify(Purpose::Request, sealed.clone()), Ok(word));
    assert_eq!(
        other.verify::<RevisionChanged>(Purpose::Request, sealed.clone()),
        Err(MessageError::BadMac)
    );
    assert_eq!(
        own.verify::<RevisionChanged>(Purpose::Reply, sealed.clone()),
        Err(MessageError::BadMac)
    );
    let newer = AuthenticatedMessage {
        version: 2,
        ..sealed.clone()
    };
    assert_eq!(
        own.verify::<RevisionChanged>(Purpose::Request, newer),
        Err(MessageError::UnsupportedVersion(2))
    );
    let large = own.authenticate_bytes(Purpose::Request, vec![0; MAX_BODY_BYTES + 1]);
    assert_eq!(
        own.verify::<RevisionChanged>(Purpose::Request, large),
        Err(MessageError::TooLarge(MAX_BODY_BYTES + 1))
    );
    let odd = own.authenticate_bytes(Purpose::Request, vec![0xff; 9]);
    assert!(matches!(
        own.verify::<Request>(Purpose::Request, odd),
        Err(MessageError::Malformed(_))
    ));
}

proptest! {
    #[test]
    fn one_flipped_bit_is_seen(body in prop::collection::vec(any::<u8>(), 1..64), place in any::<prop::sample::Index>(), bit in 0..8u8) {
        let own = secret("0123456789abcdef");
        let mut sealed = own.authenticate_bytes(Purpose::Reply, body);
        let length = sealed.body.len() + sealed.mac.len();
        let place = place.index(length);
        let own_body = sealed.body.len();
        if place < own_body { sealed.body[place] ^= 1 << bit } else { sealed.mac[place - own_body] ^= 1 << bit }
        prop_assert_eq!(own.verify_bytes(Purpose::Reply, sealed), Err(MessageError::BadMac));
    }
}

#[test]
fn a_short_seal_fits_one_label_and_these_parts() {
    let own = secret("0123456789abcdef");
    let tag = own.datagram_mac("a", &[b"bc", b"d"]);
    assert!(own.verify_datagram_mac("a", &[b"bc", b"d"], &tag));
    assert!(
        !own.verify_datagram_mac("a", &[b"b", b"cd"], &tag)
            && !own.verify_datagram_mac("b", &[b"bc", b"d"], &tag)
    );
    assert!(
        !own.verify_datagram_mac("a", &[b"bc", b"d"], &tag[..15])
            && !own.verify_datagram_mac("a", &[b"bc", b"d"], &[])
    );
    assert!(!secret("0123456789abcdeF").verify_datagram_mac("a", &[b"bc", b"d"], &tag));
}
