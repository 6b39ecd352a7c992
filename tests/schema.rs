//! Guards against generated code in `src/proto` that no longer matches `schema/operator.proto`.

use std::path::Path;

/// If this variable is set to any value, the test replaces the committed code with the generated code.
const REWRITE_VARIABLE: &str = "FOXTAILHILL_REWRITE_PROTO";
const GENERATED_FILE: &str = "foxtailhill.operator.v1.rs";

#[test]
fn committed_code_matches_the_schema() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let directory = std::env::temp_dir().join(format!("foxtailhill-schema-{}", std::process::id()));
    std::fs::create_dir_all(&directory).unwrap();
    let schema = root.join("schema");
    let files = protox::compile([schema.join("operator.proto")], [schema]).unwrap();
    tonic_prost_build::configure()
        .out_dir(&directory)
        .compile_fds(files)
        .unwrap();
    let generated = std::fs::read_to_string(directory.join(GENERATED_FILE)).unwrap();
    std::fs::remove_dir_all(&directory).unwrap();
    let committed = root.join("src/proto").join(GENERATED_FILE);
    if std::env::var_os(REWRITE_VARIABLE).is_some() {
        std::fs::write(&committed, &generated).unwrap();
    }
    let text = std::fs::read_to_string(&committed).unwrap_or_default();
    assert!(
        text == generated,
        "{} is out of date; run this test with {REWRITE_VARIABLE}=1",
        committed.display()
    );
}
