//! Errors of a running replica.

use crate::store::{NodeId, StoreError};
use openraft::error::Fatal;
use openraft::ConfigError;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use thiserror::Error;

/// Why a replica cannot start or has stopped.
#[derive(Debug, Error)]
pub enum ServerError {
    /// The store cannot be used.
    #[error("store {}: {source}", path.display())]
    Store {
        /// File of the store.
        path: PathBuf,
        /// Why the store cannot be used.
        source: Box<StoreError>,
    },
    /// The consensus library cannot start with the contents of the store.
    #[error("store {}: {source}", path.display())]
    StartRaft {
        /// File of the store.
        path: PathBuf,
        /// Error of the consensus library.
        source: Box<Fatal<NodeId>>,
    },
    /// The replica cannot listen on its address.
    #[error("listen on {address}: {source}")]
    Listen {
        /// Configured listen address.
        address: SocketAddr,
        /// Error of the listener.
        source: io::Error,
    },
    /// The gRPC server has failed.
    #[error("listen on {address}: {source}")]
    Serve {
        /// Address of the listener.
        address: SocketAddr,
        /// Error of the server.
        source: tonic::transport::Error,
    },
    /// The consensus library rejects its configuration.
    #[error(transparent)]
    Config(#[from] Box<ConfigError>),
    /// The consensus library cannot determine whether this replica was initialized before.
    #[error(transparent)]
    Uninitialized(Box<Fatal<NodeId>>),
    /// The consensus library has stopped, for example because the disk is full.
    #[error("the replica has stopped: {0}")]
    Stopped(Box<Fatal<NodeId>>),
}
