/** Client of the platform's list of VMs, a JSON document over HTTP. */
import { z } from "zod";
import { vmListPath } from "../../domain/etcd-protocol.js";
import type { VmEntry, VmList } from "../../domain/platform.js";
import { PlatformUnavailableError } from "../../errors/index.js";
import type { HttpPlatformClient } from "./http-platform-client.js";

/** The schema of the JSON document. */
export const vmListSchema = z.object({
    vms: z.array(z.object({
        id: z.string(),
        kind: z.enum(["router", "backend-server", "service"]),
        address: z.string(),
        region: z.string(),
        availabilityZone: z.string(),
        className: z.string(),
        state: z.enum(["live", "leaving"]),
        incarnation: z.number(),
    })),
});

/** Reads the list with GET. With an empty path, the client's addresses are the complete URLs of the list. */
export class HttpVmList implements VmList {
    constructor(private readonly client: HttpPlatformClient, private readonly path: string = vmListPath) {}

    async list(timeoutMilliseconds: number): Promise<readonly VmEntry[]> {
        const { body } = await this.client.call(this.path, undefined, timeoutMilliseconds, false);
        const parsed = vmListSchema.safeParse(body);
        if (!parsed.success) {
            throw new PlatformUnavailableError("The platform's VM list is malformed.", false, parsed.error);
        }
        return parsed.data.vms;
    }
}
