//! Generates the messages and the gRPC service between controllers from `proto/peer.proto`. Uses protox, so that the
//! build does not require `protoc`.

fn main() -> Result<(), Box<dyn std::error::Error>> {
    println!("cargo:rerun-if-changed=proto/peer.proto");
    let descriptors = protox::compile(["proto/peer.proto"], ["proto"])?;
    tonic_prost_build::configure().compile_fds(descriptors)?;
    Ok(())
}
