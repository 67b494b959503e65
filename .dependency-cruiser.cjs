/** Folders of src by the lifetime of their objects, longest first. None may import a folder of a shorter lifetime. */
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
            name: "no-stand-ins-in-production-code",
            comment: "Only the demo and stand-in commands may import simulated dependencies (src/stand-ins).",
            severity: "error",
            from: { path: "^src/", pathNot: "^src/(stand-ins/|cli/commands/(demo|stand-in))" },
            to: { path: "^src/stand-ins/" },
        },
        {
            name: "shared-code-does-not-import-upper-layers",
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
