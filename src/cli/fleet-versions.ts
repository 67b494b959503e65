/** Reads from one router which configuration version each router of the fleet has in force. */
import type { FleetVersions, VersionConfirmation } from "../domain/version-exchange.js";
import { OperatorUnreachableError } from "../errors/index.js";
import type { RouterStatus } from "../process/operator/status.js";
import type { OperatorClient } from "./operator-client.js";

const departedStates: ReadonlySet<string> = new Set(["dead", "left"]);

export class OperatorFleetVersions implements FleetVersions {
    constructor(private readonly client: OperatorClient) {}

    /** Returns an empty list if the router cannot be reached. */
    async read(): Promise<readonly VersionConfirmation[]> {
        try {
            return listConfirmations(await this.client.get<RouterStatus>("/operator/status"));
        }
        catch (error) {
            if (error instanceof OperatorUnreachableError) {
                return [];
            }
            throw error;
        }
    }
}

function listConfirmations(status: RouterStatus): VersionConfirmation[] {
    const { id, availabilityZone, configurationVersion } = status.router;
    const peers = status.routers.filter(router => router.id !== id && !departedStates.has(router.state));
    return [
        { routerId: id, availabilityZone, version: configurationVersion },
        ...peers.map(router => ({
            routerId: router.id,
            availabilityZone: router.availabilityZone,
            version: router.configurationVersion,
        })),
    ];
}
