//! Why a replica can't run.

use crate::store::{NodeId, StoreError};
use openraft::error::Fatal;
use openraft::ConfigError;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use thiserror::Error;

/// Why a replica can't start, or can't go on.
#[derive(Debug, Error)]
pub enum ServerError {
    /// Its store can't be used.
    #[error("store {}: {source}", path.display())]
    Store {
        /// The file of the store.
        path: PathBuf,
        /// What is wrong with it.
        source: Box<StoreError>,
    },
    /// The consensus library can't start from its store.
    #[error("store {}: {source}", path.display())]
    StartRaft {
        /// The file of the store.
        path: PathBuf,
        /// Why it can't.
        source: Box<Fatal<NodeId>>,
    },
    /// It can't listen.
    #[error("listen on {address}: {source}")]
    Listen {
        /// Where it was to listen.
        address: SocketAddr,
        /// Why it can't.
        source: io::Error,
    },
    /// Its server has failed.
    #[error("listen on {address}: {source}")]
    Serve {
        /// Where it listened.
        address: SocketAddr,
        /// Why it has failed.
        source: tonic::transport::Error,
    },
    /// The consensus library does not take its settings.
    #[error(transparent)]
    Config(#[from] Box<ConfigError>),
    /// The consensus library does not say whether this replica has run before.
    #[error(transparent)]
    Uninitialized(Box<Fatal<NodeId>>),
    /// The consensus library has stopped, for example because the disk is full.
    #[error("this replica can't go on: {0}")]
    Stopped(Box<Fatal<NodeId>>),
}
