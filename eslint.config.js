import tseslint from "typescript-eslint";

const bareErrors = ["Error", "TypeError", "RangeError"].map(name => ({
    selector: `NewExpression[callee.name="${name}"]`,
    message: "Throw an error class from src/errors, so that callers can distinguish failures by type.",
}));

const commonRestrictions = [
    { selector: "TSEnumDeclaration", message: "Use a constant object instead of an enum." },
    ...bareErrors,
];

const wrapMessage =
    "Wrap the callback with the boundary of the work that it belongs to (src/common/failure-boundary.ts).";
const wrapped = index => `[arguments.${index}.callee.property.name="wrap"]`;
/** Callbacks whose failures would end the process. */
const unwrappedCallbacks = [
    {
        selector: `CallExpression[callee.property.name=/^(on|once|addListener|addEventListener|prependListener|`
            + `prependOnceListener)$/]:not(${wrapped(1)})`,
        message: wrapMessage,
    },
    {
        selector:
            `CallExpression[callee.name=/^(setTimeout|setInterval|setImmediate|queueMicrotask|afterPendingInput)$/]`
            + `:not(${wrapped(0)})`,
        message: wrapMessage,
    },
    {
        selector: 'CallExpression[callee.name="createServer"]',
        message: "Use createContainedServer (src/common/contained-server.ts).",
    },
];

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
            "no-restricted-syntax": ["error", ...commonRestrictions],
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
        files: [
            "platform/**/*.ts",
            "src/**/gateway/**/*.ts",
            "src/common/contained-server.ts",
            "src/process/metrics/**/*.ts",
        ],
        rules: {
            "no-restricted-syntax": ["error", ...commonRestrictions, ...unwrappedCallbacks],
            "@typescript-eslint/no-floating-promises": ["error", { ignoreVoid: false }],
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
