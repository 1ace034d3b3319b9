//! The deployments of `examples/`: the process files are valid, and the numbers of processes,
//! backend servers, models and adapters are those of the users.

use lovageplank_core::settings::{Kind, Tree};
use lovageplank_standin::local::{Example, programs};
use std::path::{Path, PathBuf};
use std::process::Command;

/// Folder; numbers of routers, engines, plain services' servers, models and adapters; whether
/// `cold_start_weight` exceeds `idle_weight`.
const SIZES: &[(&str, usize, usize, usize, usize, usize, bool)] = &[
    ("haddad", 10, 12, 3, 65, 75, true),
    ("pustaka", 10, 9, 4, 50, 60, false),
];

#[test]
fn examples_have_the_sizes_of_their_users() {
    for (name, routers, engines, servers, models, adapters, cold_start_outweighs_idle) in SIZES {
        let example = Example::read(&folder(name)).unwrap();
        let tree = Tree::from_value(&example.tree).unwrap();
        assert_eq!(example.controls.len(), 3, "{name}");
        assert_eq!(example.routers.len(), *routers, "{name}");
        assert_eq!(example.backends.engines.len(), *engines, "{name}");
        assert_eq!(example.backends.services.len(), *servers, "{name}");
        let engine_services = tree.services.values().filter(|s| s.kind == Kind::Engine);
        let engine_models: Vec<_> = engine_services.flat_map(|s| s.models.values()).collect();
        assert_eq!(engine_models.len(), *models, "{name}");
        let count: usize = engine_models.iter().map(|m| m.adapters.len()).sum();
        assert_eq!(count, *adapters, "{name}");
        let weights = (tree.settings.cold_start_weight, tree.settings.idle_weight);
        assert_eq!(weights.0 > weights.1, *cold_start_outweighs_idle, "{name}");
        for engine in &example.backends.engines {
            for model in engine.on_disk.iter().chain(&engine.in_memory) {
                assert!(
                    tree.model(model).is_some(),
                    "{name}: {model} isn't in the settings tree"
                );
            }
        }
    }
}

#[test]
fn every_process_file_passes_the_check_of_its_program() {
    for (name, ..) in SIZES {
        for file in files(&folder(name)) {
            let stem = file.file_name().unwrap().to_string_lossy().into_owned();
            let program = match stem.split('-').next() {
                Some("control") => "lovageplank-control",
                Some("router") => "lovageplank-router",
                _ => continue,
            };
            let output = Command::new(programs().unwrap().join(program))
                .args(["--check", "--config"])
                .arg(&file)
                .output()
                .unwrap();
            assert!(output.status.success(), "{output:?}");
        }
    }
}

fn folder(name: &str) -> PathBuf {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples");
    root.join(name)
}

fn files(folder: &Path) -> Vec<PathBuf> {
    let entries = std::fs::read_dir(folder).unwrap();
    entries.map(|entry| entry.unwrap().path()).collect()
}
