/** Schema of the gateway process's settings file (JSON with comments), which is validated at start-up. */
import * as z from "zod/mini";
import { readTextFile } from "../../common/read-text-file.js";
import { parseSocketAddress } from "../../domain/gateway/server-entry.js";
import { parseAndValidate } from "../settings/parse-and-validate.js";

const text = () => z.string().check(z.minLength(1, "a non-empty string"));
const address = () =>
    z.pipe(
        z.string().check(z.refine(value => parseSocketAddress(value) !== undefined, "IP:PORT")),
        z.transform(value => parseSocketAddress(value)!),
    );
const positive = () => z.number().check(z.positive("a number greater than 0"));

const gatewaySettingsSchema = z.object({
    router: z.object({
        name: text(),
        availabilityZone: text(),
        region: text(),
        /** False unless the whole fleet starts for the first time; without it, the store alone tells. */
        isFirstFleetStart: z.optional(z.boolean()),
    }),
    listen: z.object({
        callers: address(),
        readiness: address(),
        peers: address(),
        metrics: address(),
    }),
    /**
     * Peer addresses of a few routers, some of them possibly outdated. A router that starts while the store is
     * unavailable requests the store's contents from them.
     */
    contacts: z.array(address()),
    store: z.object({ address: address(), minimumLeaseMilliseconds: positive() }),
    machine: z.object({ maximumDescriptors: positive(), memoryMegabytes: positive() }),
    /** Limits on what clients and servers may take of the machine; `resolveClientLimits` states the defaults. */
    limits: z.optional(z.object({
        heldMemoryMegabytes: z.optional(positive()),
        maximumConnections: z.optional(positive()),
        maximumPipelinedRequests: z.optional(positive()),
    })),
    bounds: z.object({
        drainMilliseconds: positive(),
        shutdownGraceSeconds: positive(),
        configurationApplyMilliseconds: positive(),
        retryRatio: z.number().check(z.minimum(0, "a number of 0 or more")),
        retryWindowSeconds: positive(),
        retryExtra: z.number().check(z.minimum(0, "a number of 0 or more")),
        stallMilliseconds: positive(),
    }),
}).check(
    z.refine(({ machine, limits }) => !((limits?.heldMemoryMegabytes ?? 0) >= machine.memoryMegabytes), {
        path: ["limits", "heldMemoryMegabytes"],
        message: "less than machine.memoryMegabytes",
    }),
    z.refine(({ machine, limits }) => !((limits?.maximumConnections ?? 0) >= machine.maximumDescriptors), {
        path: ["limits", "maximumConnections"],
        message: "less than machine.maximumDescriptors",
    }),
);

export type GatewaySettings = z.infer<typeof gatewaySettingsSchema>;
export type GatewayBounds = GatewaySettings["bounds"];

/** Reads and validates the settings file. Throws UnreadableFileError or InvalidSettingsError. */
export async function readGatewaySettings(file: string): Promise<GatewaySettings> {
    return parseAndValidate(await readTextFile(file), file, gatewaySettingsSchema);
}
