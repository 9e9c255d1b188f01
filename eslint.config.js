import tseslint from "typescript-eslint";

export default tseslint.config(
    { ignores: ["**/dist/**", "**/target/**", "**/generated/**", "**/node_modules/**"] },
    ...tseslint.configs.recommended,
    {
        files: ["**/*.ts"],
        rules: {
            "curly": ["error", "all"],
            "eqeqeq": ["error", "always"],
            "no-restricted-syntax": ["error", { selector: "Literal[raw='null']", message: "Use undefined." }],
            "@typescript-eslint/consistent-type-imports": "error",
            "@typescript-eslint/naming-convention": [
                "error",
                { selector: "typeLike", format: ["PascalCase"] },
                {
                    selector: ["function", "parameter"],
                    format: ["camelCase", "PascalCase"],
                    filter: { regex: "^\\$", match: false }
                },
                { selector: "variable", format: ["camelCase", "PascalCase"], filter: { regex: "^\\$", match: false } }
            ]
        }
    }
);
