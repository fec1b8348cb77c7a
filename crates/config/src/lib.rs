//! The operator's file.
