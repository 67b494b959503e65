/** Keeps the direction between life spans: a longer life never imports a shorter one. */
const lives = ["process", "version", "connection", "request"];

module.exports = {
    forbidden: [
        ...lives.flatMap((life, index) =>
            lives.slice(index + 1).map(shorter => ({
                name: `${life}-does-not-import-${shorter}`,
                severity: "error",
                from: { path: `^src/${life}/` },
                to: { path: `^src/${shorter}/` },
            }))
        ),
        {
            name: "stand-ins-stay-outside-the-product",
            comment: "Only the demo and stand-in commands start a stand-in.",
            severity: "error",
            from: { path: "^src/", pathNot: "^src/(stand-ins/|cli/commands/(demo|stand-in))" },
            to: { path: "^src/stand-ins/" },
        },
        {
            name: "common-stays-below",
            severity: "error",
            from: { path: "^src/(common|domain|errors)/" },
            to: { path: "^src/(process|version|connection|request|daemon|cli|stand-ins)/" },
        },
        {
            name: "no-circular",
            severity: "error",
            from: {},
            to: { circular: true, viaOnly: { dependencyTypesNot: ["type-only"] } },
        },
    ],
    options: {
        tsPreCompilationDeps: true,
        tsConfig: { fileName: "tsconfig.json" },
        doNotFollow: { path: "node_modules" },
    },
};
