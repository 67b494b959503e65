export default {
    testEnvironment: "node",
    roots: ["<rootDir>/test"],
    testMatch: ["**/*.test.ts"],
    extensionsToTreatAsEsm: [".ts"],
    transform: {
        "^.+\\.ts$": ["@swc/jest", {
            jsc: { parser: { syntax: "typescript" }, target: "es2022" },
            module: { type: "es6" },
        }],
    },
    moduleNameMapper: { "^(\\.{1,2}/.*)\\.js$": "$1" },
    fakeTimers: { enableGlobally: true },
    injectGlobals: true,
    maxWorkers: "50%",
    testTimeout: 60000,
};
