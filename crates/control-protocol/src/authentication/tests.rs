//! Verification of messages and datagrams.

use super::{MessageError, Purpose, MAX_BODY_BYTES};
use crate::secret::SharedSecret;
use crate::wire::AuthenticatedMessage;
use crate::wire::{Request, RevisionChanged};
use proptest::prelude::*;

fn secret(text: &str) -> SharedSecret {
    SharedSecret::new(text.as_bytes()).expect("a secret")
}

#[test]
fn message_passes_only_with_its_secret_purpose_version_and_size() {
    let (right_secret, other_secret) = (secret("0123456789abcdef"), secret("0123456789abcdeF"));
    let content = RevisionChanged { revision: 7 };
    let message = right_secret.authenticate(Purpose::Request, &content);
    assert_eq!(
        right_secret.verify(Purpose::Request, message.clone()),
        Ok(content)
    );
    assert_eq!(
        other_secret.verify::<RevisionChanged>(Purpose::Request, message.clone()),
        Err(MessageError::BadMac)
    );
    assert_eq!(
        right_secret.verify::<RevisionChanged>(Purpose::Reply, message.clone()),
        Err(MessageError::BadMac)
    );
    let newer = AuthenticatedMessage {
        version: 2,
        ..message.clone()
    };
    assert_eq!(
        right_secret.verify::<RevisionChanged>(Purpose::Request, newer),
        Err(MessageError::UnsupportedVersion(2))
    );
    let large = right_secret.authenticate_bytes(Purpose::Request, vec![0; MAX_BODY_BYTES + 1]);
    assert_eq!(
        right_secret.verify::<RevisionChanged>(Purpose::Request, large),
        Err(MessageError::TooLarge(MAX_BODY_BYTES + 1))
    );
    let undecodable = right_secret.authenticate_bytes(Purpose::Request, vec![0xff; 9]);
    assert!(matches!(
        right_secret.verify::<Request>(Purpose::Request, undecodable),
        Err(MessageError::Malformed(_))
    ));
}

proptest! {
    #[test]
    fn one_flipped_bit_fails_verification(body in prop::collection::vec(any::<u8>(), 1..64), position in any::<prop::sample::Index>(), bit in 0..8u8) {
        let right_secret = secret("0123456789abcdef");
        let mut message = right_secret.authenticate_bytes(Purpose::Reply, body);
        let length = message.body.len() + message.mac.len();
        let position = position.index(length);
        let own_body = message.body.len();
        if position < own_body { message.body[position] ^= 1 << bit } else { message.mac[position - own_body] ^= 1 << bit }
        prop_assert_eq!(right_secret.verify_bytes(Purpose::Reply, message), Err(MessageError::BadMac));
    }
}

#[test]
fn datagram_mac_matches_only_its_label_and_parts() {
    let right_secret = secret("0123456789abcdef");
    let mac = right_secret.datagram_mac("a", &[b"bc", b"d"]);
    assert!(right_secret.verify_datagram_mac("a", &[b"bc", b"d"], &mac));
    assert!(
        !right_secret.verify_datagram_mac("a", &[b"b", b"cd"], &mac)
            && !right_secret.verify_datagram_mac("b", &[b"bc", b"d"], &mac)
    );
    assert!(
        !right_secret.verify_datagram_mac("a", &[b"bc", b"d"], &mac[..15])
            && !right_secret.verify_datagram_mac("a", &[b"bc", b"d"], &[])
    );
    assert!(!secret("0123456789abcdeF").verify_datagram_mac("a", &[b"bc", b"d"], &mac));
}
