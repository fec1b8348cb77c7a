//! The control plane of the policy: a replicated service that says which generation of the policy is in force, grants
//! leases to the proxies that act under it, and takes a change from one generation to the next.
//!
//! The crate is one replica. It owns the agreement of the replicas (Raft, by [`openraft`]), the [`store`] of its log and
//! snapshots, its [`settings`], and the gRPC [`server`]. The rules of leases and changes are those of
//! [`badgerramp_policy`]; the messages are those of [`badgerramp_control_protocol`]. It never carries calls, and it
//! never decides on a lease or a change without having confirmed that it leads.
//!
//! ```no_run
//! use badgerramp_control_plane::server;
//! use badgerramp_control_plane::settings::Settings;
//! use badgerramp_control_plane::store::Store;
//!
//! # async fn example() -> Result<(), Box<dyn std::error::Error>> {
//! let settings = Settings::load("replica-1.toml".as_ref())?;
//! if !settings.store.exists() {
//!     Store::create(&settings.store, settings.replica)?;
//! }
//! server::run(settings, std::future::pending()).await?;
//! # Ok(())
//! # }
//! ```
#![forbid(unsafe_code)]

mod check;
pub mod cli;
mod cross_region;
mod decommission;
mod fallback;
mod leader;
mod network;
mod progress;
mod rejections;
pub mod server;
pub mod settings;
mod status;
pub mod store;
