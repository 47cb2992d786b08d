"""Run requests: identity, registry, intents, attempts and streams."""
