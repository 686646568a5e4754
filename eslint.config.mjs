import tseslint from "typescript-eslint";

export default tseslint.config(
    { ignores: ["dist/**", "build/**", "target/**", "node_modules/**", "scripts/**", "eslint.config.mjs"] },
    ...tseslint.configs.strictTypeChecked,
    {
        languageOptions: { parserOptions: { project: "./tsconfig.json" } },
        rules: {
            "curly": "error",
            "eqeqeq": "error",
            "no-console": "error",
            "@typescript-eslint/explicit-member-accessibility": ["error", { overrides: { constructors: "no-public" } }],
            "@typescript-eslint/naming-convention": [
                "error",
                { selector: "typeLike", format: ["PascalCase"], custom: { regex: "^I[A-Z]|Impl$", match: false } },
                { selector: "enum", format: ["PascalCase"], custom: { regex: ".", match: false } },
            ],
            "@typescript-eslint/no-confusing-void-expression": ["error", { ignoreArrowShorthand: true }],
            "@typescript-eslint/restrict-template-expressions": ["error", { allowNumber: true, allowBoolean: true }],
            "@typescript-eslint/no-invalid-void-type": "off",
        },
    },
    {
        files: ["src/**/*.test.ts", "platform/**/*.test.ts", "src/test/**/*.ts"],
        rules: {
            "@typescript-eslint/no-floating-promises": [
                "error",
                {
                    allowForKnownSafeCalls: [{
                        from: "package",
                        name: ["describe", "it", "test"],
                        package: "node:test",
                    }],
                },
            ],
            "@typescript-eslint/no-non-null-assertion": "off",
        },
    },
    { files: ["src/cli/**/*.ts"], rules: { "no-console": "off" } },
);
