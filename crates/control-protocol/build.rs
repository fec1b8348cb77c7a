//! Generates the messages and the service from the schema. The schema is compiled by a Rust library, so no `protoc` is
//! needed.

fn main() -> Result<(), Box<dyn std::error::Error>> {
    println!("cargo:rerun-if-changed=proto/control.proto");
    let files = protox::compile(["proto/control.proto"], ["proto"])?;
    tonic_prost_build::configure().compile_fds(files)?;
    Ok(())
}
