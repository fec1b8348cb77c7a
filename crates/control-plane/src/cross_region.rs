//! Messages of cross-region changes between the leaders of the regions. [`badgerramp_policy::regions`] decides what is
//! sent, logged and replied.

mod client;
mod server;

pub(crate) use client::CrossRegionClient;
pub(crate) use server::CrossRegionServer;
