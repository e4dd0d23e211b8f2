//! Writes `crates/wire/src/generated` from `crates/wire/proto`; run it in `tools/regen`.

fn main() -> Result<(), Box<dyn std::error::Error>> {
    let wire = concat!(env!("CARGO_MANIFEST_DIR"), "/../../crates/wire");
    let files = protox::compile(["peer.proto"], [format!("{wire}/proto")])?;
    tonic_prost_build::configure()
        .bytes(".")
        .btree_map(".")
        .out_dir(format!("{wire}/src/generated"))
        .compile_fds(files)?;
    Ok(())
}
