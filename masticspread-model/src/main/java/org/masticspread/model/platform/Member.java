package org.masticspread.model.platform;

import org.masticspread.model.id.DataCentreId;
import org.masticspread.model.id.VmId;

/**
 * A VM on the membership list.
 *
 * @param vm the VM
 * @param dataCentre its data centre
 * @param address host and port of its peer protocol
 * @param leaving whether it is leaving
 */
public record Member(VmId vm, DataCentreId dataCentre, String address, boolean leaving) {}
