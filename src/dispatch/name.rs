//! Names of models, adapters and versions in requests.

use smol_str::SmolStr;

use crate::catalog::{FleetCatalog, ModelSpec};
use crate::error::{Category, Error, Result};

/// `model`, adapter and version as named in a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ModelName {
    pub model: SmolStr,
    pub adapter: Option<SmolStr>,
    pub version: Option<SmolStr>,
}

impl ModelName {
    /// Splits `model`, `model:adapter`, `model@version` or `model:adapter@version`.
    pub fn parse(text: &str) -> Self {
        let (text, version) = match text.split_once('@') {
            Some((name, version)) => (name, Some(version.into())),
            None => (text, None),
        };
        let (model, adapter) = match text.split_once(':') {
            Some((model, adapter)) => (model, Some(adapter.into())),
            None => (text, None),
        };
        Self {
            model: model.into(),
            adapter,
            version,
        }
    }
}

/// Looks up the model of a name, and checks that its adapter and version are declared.
///
/// # Errors
///
/// `NotFound` if the model, its adapter or its version is not declared.
pub(super) fn find_model<'a>(catalog: &'a FleetCatalog, name: &ModelName) -> Result<&'a ModelSpec> {
    let not_found = |what: String| Error::new(Category::NotFound, what);
    let model = catalog
        .model(&name.model)
        .ok_or_else(|| not_found(format!("model `{}` does not exist", name.model)))?;
    if let Some(adapter) = &name.adapter {
        let known = catalog
            .adapter(adapter)
            .is_some_and(|spec| spec.model == model.name);
        if !known {
            return Err(not_found(format!(
                "model `{}` has no adapter `{adapter}`",
                model.name
            )));
        }
    }
    if let Some(version) = &name.version
        && !catalog.has_version(&model.name, version)
    {
        return Err(not_found(format!(
            "model `{}` has no version `{version}`",
            model.name
        )));
    }
    Ok(model)
}

/// Returns the declared versions of a model except the current one.
pub(super) fn other_versions(catalog: &FleetCatalog, model: &ModelSpec) -> Vec<SmolStr> {
    let declared = catalog
        .versions()
        .filter(|version| version.model == model.name);
    let declared = declared.map(|version| &version.version);
    let initial = catalog.initial_version(&model.name);
    declared
        .chain(initial)
        .filter(|version| **version != model.version)
        .cloned()
        .collect()
}
