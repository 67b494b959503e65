/** Bundles the deployed router into one file, so that a start reads and compiles only the code that is used. */
import { build } from "esbuild";

await build({
    entryPoints: ["platform/main.ts"],
    outfile: "target/router.mjs",
    bundle: true,
    platform: "node",
    target: "node20",
    format: "esm",
    mainFields: ["module", "main"],
    minifySyntax: true,
    legalComments: "none",
    logLevel: "warning",
});
