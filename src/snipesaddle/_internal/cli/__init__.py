"""The command lines of snipesaddle and snipesaddled, as thin wrappers."""
