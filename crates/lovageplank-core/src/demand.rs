//! Demand for models, merged over routers.
