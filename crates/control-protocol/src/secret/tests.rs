//! Permission and length checks on the file of a secret.

use super::{SecretError, SharedSecret};
use std::os::unix::fs::PermissionsExt;

#[test]
fn file_readable_by_others_or_of_wrong_length_is_rejected() {
    let path = std::env::temp_dir().join(format!("badgerramp-secret-{}", std::process::id()));
    std::fs::write(&path, "0123456789abcdef\n").expect("a temporary file");
    let set_mode = |mode| {
        std::fs::set_permissions(&path, std::fs::Permissions::from_mode(mode))
            .expect("the permissions are set");
    };
    set_mode(0o640);
    assert!(matches!(
        SharedSecret::read(&path),
        Err(SecretError::Permissions(_))
    ));
    set_mode(0o600);
    assert_eq!(
        SharedSecret::read(&path).expect("a secret").0,
        b"0123456789abcdef"
    );
    std::fs::write(&path, "short").expect("a temporary file");
    assert!(matches!(
        SharedSecret::read(&path),
        Err(SecretError::Length(5))
    ));
    std::fs::remove_file(&path).expect("a temporary file");
    assert!(matches!(
        SharedSecret::read(&path),
        Err(SecretError::Unreadable(_))
    ));
}
