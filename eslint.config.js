import tseslint from "typescript-eslint";

const bareErrors = ["Error", "TypeError", "RangeError"].map(name => ({
    selector: `NewExpression[callee.name="${name}"]`,
    message: "Throw an error class from src/errors, so that callers can distinguish failures by type.",
}));

export default tseslint.config(
    {
        ignores: [
            "dist/",
            "dist/",
            "src/generated/",
            "node_modules/",
            "coverage/",
            "target/",
            "*.cjs",
            "*.js",
            "**/*.mjs",
        ],
    },
    tseslint.configs.recommendedTypeChecked,
    {
        languageOptions: { parserOptions: { projectService: true } },
        rules: {
            "curly": ["error", "all"],
            "eqeqeq": "error",
            "prefer-const": "error",
            "no-var": "error",
            "max-lines": ["error", { max: 400, skipBlankLines: false, skipComments: false }],
            "no-restricted-syntax": [
                "error",
                { selector: "TSEnumDeclaration", message: "Use a constant object instead of an enum." },
                ...bareErrors,
            ],
            "@typescript-eslint/naming-convention": [
                "error",
                { selector: "typeLike", format: ["PascalCase"] },
                { selector: "function", format: ["camelCase"] },
                { selector: "method", format: ["camelCase"] },
                { selector: "interface", format: ["PascalCase"], custom: { regex: "^I[A-Z]", match: false } },
            ],
            "@typescript-eslint/consistent-type-imports": "error",
            "@typescript-eslint/no-unused-vars": ["error", { argsIgnorePattern: "^_", varsIgnorePattern: "^_" }],
            "@typescript-eslint/require-await": "off",
        },
    },
    {
        files: ["test/**/*.ts", "bench/**/*.ts"],
        rules: {
            "max-lines": ["error", { max: 600 }],
            "no-restricted-syntax": "off",
            "@typescript-eslint/unbound-method": "off",
        },
    },
);
