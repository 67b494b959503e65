/** Creates the service that validates and publishes configuration sheets, for the operator commands and the demo. */
import { randomUUID } from "node:crypto";
import type { KeyValueService } from "../domain/platform.js";
import type { FleetVersions } from "../domain/version-exchange.js";
import { PushService } from "../process/configuration/index.js";
import { diffSheets, parseSheet } from "../version/sheet/index.js";

/** Without `fleetVersions`, the service cannot report on which routers a version is active. */
export function createSheetPushService(keyValueService: KeyValueService, fleetVersions?: FleetVersions): PushService {
    return new PushService({
        keyValueService,
        check: sheet => void parseSheet(sheet),
        compare: diffSheets,
        fleetVersions,
        createPushId: randomUUID,
        wallClock: () => new Date(),
    });
}
